package endpoint

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// Limits on the fields of an announcement.
const (
	// MaxNameBytes is the maximum length of an identifier, in bytes.
	MaxNameBytes = 128
	// MaxSlots is the maximum number of slots of one endpoint.
	MaxSlots = 4096
)

// ErrFull means that the registry has reached MaxEndpoints.
var ErrFull = errors.New("endpoint registry is full")

// FieldError is a validation error of one field of an announcement.
type FieldError struct {
	// Field is the JSON name of the field, or "id" for the endpoint ID in the path.
	Field   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

// Validate checks an announcement and its endpoint ID. It returns a *FieldError
// for the first invalid field.
func Validate(id string, a api.Announcement) error {
	names := []struct{ field, value string }{
		{"id", id},
		{"service", a.Service},
		{"instance", a.Instance},
		{"incarnation", a.Incarnation},
	}
	for _, n := range names {
		if err := checkName(n.field, n.value); err != nil {
			return err
		}
	}
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	if a.State != api.EndpointReady && a.State != api.EndpointLeaving {
		return &FieldError{"state", fmt.Sprintf("%q is neither %q nor %q", a.State, api.EndpointReady, api.EndpointLeaving)}
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return &FieldError{"slots", fmt.Sprintf("%d is not between 1 and %d", a.Slots, MaxSlots)}
	}
	if a.Running < 0 {
		return &FieldError{"running", fmt.Sprintf("%d is negative", a.Running)}
	}
	return nil
}

func checkName(field, value string) error {
	if value == "" {
		return &FieldError{field, "must not be empty"}
	}
	if len(value) > MaxNameBytes {
		return &FieldError{field, fmt.Sprintf("is longer than %d bytes", MaxNameBytes)}
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return &FieldError{field, fmt.Sprintf("%q holds a character outside printable ASCII", value)}
		}
	}
	return nil
}

func checkAddress(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return &FieldError{"address", fmt.Sprintf("%q is not \"IP:port\"", address)}
	}
	if ap.Port() == 0 || ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		return &FieldError{"address", fmt.Sprintf("%q can't be connected to", address)}
	}
	return nil
}
