package hedger

//go:generate go tool stringer -type=Mode,Denial,Result -linecomment -output=enums_string.go
