package api

// EndpointState is the state that an endpoint announces for itself.
type EndpointState string

// States of an announced endpoint.
const (
	EndpointReady   EndpointState = "ready"
	EndpointLeaving EndpointState = "leaving"
)

// Announcement is the body of PUT /v1/endpoints/{id}. An endpoint repeats it
// before its lease lapses.
type Announcement struct {
	// Service names the service of the document that the endpoint runs.
	Service string `json:"service"`
	// Instance names the instance that hosts the endpoint.
	Instance string `json:"instance"`
	// Incarnation changes whenever the endpoint's process restarts; work of an
	// older incarnation can no longer be running.
	Incarnation string `json:"incarnation"`
	// Address is the endpoint's "IP:port" for requests.
	Address string        `json:"address"`
	State   EndpointState `json:"state"`
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"slots"`
	// Running is the number of requests running now.
	Running int `json:"running"`
}

// AnnouncementReply is the answer to an announcement.
type AnnouncementReply struct {
	// Lease is how long the announcement stands.
	Lease Duration `json:"lease"`
	// RenewAfter is when the endpoint should announce itself next.
	RenewAfter Duration `json:"renew_after"`
}
