package carrier

//go:generate go tool stringer -type=Step -linecomment -output=step_string.go
