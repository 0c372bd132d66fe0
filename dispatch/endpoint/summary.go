package endpoint

// Summary tells other availability zones what a zone has, in sums, so that its
// size grows with services and not with endpoints.
type Summary struct {
	Zone     string           `cbor:"1,keyasint"`
	Services []ServiceSummary `cbor:"2,keyasint"`
}

// ServiceSummary sums one service of a zone.
type ServiceSummary struct {
	Service string `cbor:"1,keyasint"`
	// Endpoints is the number of endpoints that may get work.
	Endpoints int `cbor:"2,keyasint"`
	// Slots is the number of slots on them.
	Slots int `cbor:"3,keyasint"`
	// Free is the number of slots that the arbiter could grant now.
	Free int `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of requests that wait in the arbiter.
	Waiting int `cbor:"5,keyasint,omitempty"`
}
