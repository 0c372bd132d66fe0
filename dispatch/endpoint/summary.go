package endpoint

// Summary holds the totals of a zone for other availability zones. Its size grows
// with the number of services, not of endpoints.
type Summary struct {
	Zone     string           `cbor:"1,keyasint"`
	Services []ServiceSummary `cbor:"2,keyasint"`
}

// ServiceSummary holds the totals of one service in a zone.
type ServiceSummary struct {
	Service string `cbor:"1,keyasint"`
	// Endpoints is the number of endpoints that may receive requests.
	Endpoints int `cbor:"2,keyasint"`
	// Slots is the total number of slots of these endpoints.
	Slots int `cbor:"3,keyasint"`
	// Free is the number of slots that the arbiter can grant now.
	Free int `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of requests queued at the arbiter.
	Waiting int `cbor:"5,keyasint,omitempty"`
}
