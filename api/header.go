package api

// Headers of the caller and endpoint interfaces.
const (
	// HeaderRequestID carries the request id. Endpoints echo it in their answer.
	HeaderRequestID = "Request-Id"
	// HeaderDeadline carries the time left to the caller's deadline, as a duration such as "800ms".
	HeaderDeadline = "Request-Timeout"
	// HeaderRun carries a Run value in every answer to a caller.
	HeaderRun = "Request-Run"
	// HeaderQueue tells the endpoint the queue of the request.
	HeaderQueue = "Request-Queue"
	// HeaderTeam tells the endpoint the team of the request.
	HeaderTeam = "Request-Team"
	// HeaderAttempt tells the endpoint the number of the attempt, from 1.
	HeaderAttempt = "Request-Attempt"
	// HeaderHome carries the daemon that is home to the request id.
	HeaderHome = "Request-Home"
)
