package api

import "net/netip"

// Validate returns every fault of the announcement; nil if there is none. Names
// are checked for their form only; whether the service exists is the caller's
// to check against the configuration in force.
func (a *Announcement) Validate() []Fault {
	l := &faultList{}
	l.name("service", a.Service)
	l.name("instance", a.Instance)
	l.token("incarnation", a.Incarnation)
	l.address("address", a.Address)
	switch a.State {
	case EndpointReady, EndpointLeaving:
	default:
		l.addf("state", "%s is not a state: use %q or %q", quote(string(a.State)), EndpointReady, EndpointLeaving)
	}
	l.intRange("slots", int64(a.Slots), 1, MaxSlotsPerEndpoint)
	l.intRange("running", int64(a.Running), 0, MaxSlotsPerEndpoint)
	return l.faults
}

// token checks a required opaque value of visible ASCII characters.
func (l *faultList) token(path, s string) {
	if s == "" || len(s) > MaxIncarnationLen {
		l.addf(path, "must have 1 to %d characters", MaxIncarnationLen)
		return
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] > '~' {
			l.addf(path, "%s holds a character that is not visible ASCII", quote(s))
			return
		}
	}
}

// address checks "IP:port" with a port that can be connected to.
func (l *faultList) address(path, s string) {
	if len(s) > MaxAddressLen {
		l.addf(path, "must have at most %d characters", MaxAddressLen)
		return
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		l.addf(path, "%s is not an address of the form IP:port", quote(s))
	}
}
