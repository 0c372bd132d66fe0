package api

import "net/netip"

// Validate returns all faults of the announcement, or nil if there are none. It
// checks only the form of names; the caller checks against the current
// configuration that the service exists.
func (a *Announcement) Validate() []Fault {
	l := &faultList{}
	l.checkName("service", a.Service)
	l.checkName("instance", a.Instance)
	l.checkToken("incarnation", a.Incarnation)
	l.checkAddress("address", a.Address)
	switch a.State {
	case EndpointReady, EndpointLeaving:
	default:
		l.addf("state", "%s is not a state: use %q or %q", quote(string(a.State)), EndpointReady, EndpointLeaving)
	}
	l.checkIntRange("slots", int64(a.Slots), 1, MaxSlotsPerEndpoint)
	l.checkIntRange("running", int64(a.Running), 0, MaxSlotsPerEndpoint)
	return l.faults
}

// checkToken checks that s is a non-empty opaque value of at most
// MaxIncarnationLen visible ASCII characters.
func (l *faultList) checkToken(path, s string) {
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

// checkAddress checks that s has the form "IP:port", with a port other than 0 and
// an IP address that is not the unspecified address.
func (l *faultList) checkAddress(path, s string) {
	if len(s) > MaxAddressLen {
		l.addf(path, "must have at most %d characters", MaxAddressLen)
		return
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		l.addf(path, "%s is not an address of the form IP:port", quote(s))
	}
}
