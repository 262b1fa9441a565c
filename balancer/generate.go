package balancer

//go:generate go tool stringer -type=Result -linecomment -output=result_string.go
//go:generate go tool stringer -type=Tier -linecomment -output=tier_string.go
