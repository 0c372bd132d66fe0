package api

// Headers of the caller and endpoint interfaces.
const (
	// HeaderRequestID carries the request id. Endpoints return it in their
	// response.
	HeaderRequestID = "Request-Id"
	// HeaderDeadline carries the time remaining until the caller's deadline, as a
	// duration such as "800ms".
	HeaderDeadline = "Request-Timeout"
	// HeaderRun carries a Run value in every response to a caller.
	HeaderRun = "Request-Run"
	// HeaderQueue carries the queue of the request to the endpoint.
	HeaderQueue = "Request-Queue"
	// HeaderTeam carries the team of the request to the endpoint.
	HeaderTeam = "Request-Team"
	// HeaderAttempt carries the attempt number to the endpoint, starting at 1.
	HeaderAttempt = "Request-Attempt"
	// HeaderHome carries the home named by the request id: the daemon that issued
	// the id. It is empty for ids that no daemon issued.
	HeaderHome = "Request-Home"
)
