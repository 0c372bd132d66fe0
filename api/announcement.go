package api

// EndpointState is the state that an endpoint reports in its announcement.
type EndpointState string

// States of an announced endpoint.
const (
	EndpointReady   EndpointState = "ready"
	EndpointLeaving EndpointState = "leaving"
)

// Announcement is the body of PUT /v1/endpoints/{id}. An endpoint repeats it
// before its lease expires.
type Announcement struct {
	// Service is the name of the service, as given in the document, that the
	// endpoint runs.
	Service string `json:"service"`
	// Instance is the name of the instance that hosts the endpoint.
	Instance string `json:"instance"`
	// Incarnation changes whenever the endpoint's process restarts. Requests of an
	// earlier incarnation can no longer be running.
	Incarnation string `json:"incarnation"`
	// Address is the "IP:port" at which the endpoint accepts requests.
	Address string        `json:"address"`
	State   EndpointState `json:"state"`
	// Slots is the number of requests that the endpoint can run concurrently.
	Slots int `json:"slots"`
	// Running is the number of requests currently running.
	Running int `json:"running"`
}

// AnnouncementReply is the response to an announcement.
type AnnouncementReply struct {
	// Lease is the time for which the announcement is valid.
	Lease Duration `json:"lease"`
	// RenewAfter is the time after which the endpoint should announce itself again.
	RenewAfter Duration `json:"renew_after"`
}
