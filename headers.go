package verbenastand

// Names of the HTTP header fields that the load balancer reads and writes.
const (
	// HeaderService names the requested service.
	HeaderService = "Verbenastand-Service"
	// HeaderTimeout is how long the caller waits for the response, in milliseconds.
	HeaderTimeout = "Verbenastand-Timeout"
	// HeaderAttempt is 0 for a caller's first attempt and counts its retries.
	HeaderAttempt = "Verbenastand-Attempt"
	// HeaderDepth counts the services that a chain of nested requests has passed.
	HeaderDepth = "Verbenastand-Depth"
	// HeaderVerdict reports in a response whether the request may have run.
	HeaderVerdict = "Verbenastand-Verdict"
	// HeaderReason reports in a response why the request failed.
	HeaderReason = "Verbenastand-Reason"
	// HeaderHost names in a response the host instance that handled the request.
	HeaderHost = "Verbenastand-Host"
	// HeaderRequest identifies one request to a backend server. A server that returns
	// it in its response is protected from responses that are mistaken for those of
	// other requests.
	HeaderRequest = "Verbenastand-Request"
	// HeaderIdempotencyKey carries the key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLoad is the load report of a backend server in the ORCA text format.
	HeaderLoad = "Endpoint-Load-Metrics"
	// HeaderServerInstance identifies the process of a backend server; it changes
	// when the server restarts.
	HeaderServerInstance = "Backend-Instance"
	// HeaderServerLimit is the number of requests per second, a decimal number, that a
	// backend server takes from all hosts together, as long as its responses name it.
	HeaderServerLimit = "Backend-Limit"
	// HeaderServerDraining is "true" while a backend server is draining and accepts
	// no new requests.
	HeaderServerDraining = "Backend-Draining"
)

// MaxDepth is the number of services that a chain of nested requests may pass.
const MaxDepth = 32
