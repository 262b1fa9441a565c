package verbenastand

// Origin describes where a request comes from that another host has delegated.
type Origin struct {
	// Host is the host that received the request from the caller.
	Host HostID
	// Caller is the network address of the caller.
	Caller string
	// Service is the service that was drawn from the split of the route.
	Service ServiceName
	// Route is the route by which the host handles the request, and Table the version of its
	// route table. Route is nil if the host is of an earlier version, which does not send it.
	Route *Route
	Table TableVersion
	// Attempts is the number of servers that the request has been sent to.
	Attempts int
	// Losses are the connections to servers that were lost while the request ran.
	Losses []LossFinding
}
