package quarantiner

//go:generate go tool stringer -type=Scope -linecomment -output=scope_string.go

// Scope tells which copies of a request share evidence.
type Scope int

// Scopes of evidence.
const (
	// PerCaller evidence is about the requests of one caller.
	PerCaller Scope = iota // perCaller
	// AllCallers evidence is about requests whoever sends them. Many callers may use
	// a path, and several servers may end at once for another reason: it takes more
	// crashes, and any success clears it.
	AllCallers // allCallers
)

// scopeCount is the number of scopes.
const scopeCount = 2

const (
	// CrashLimit is the number of crashed servers at which the requests of a caller
	// are refused.
	CrashLimit = 2
	// SharedCrashLimit is the number of crashed servers at which requests are refused
	// whoever sends them.
	SharedCrashLimit = 3
)

// crashLimit returns the number of crashed servers at which requests are refused.
func (s Scope) crashLimit() int {
	if s == AllCallers {
		return SharedCrashLimit
	}
	return CrashLimit
}
