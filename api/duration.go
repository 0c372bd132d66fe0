package api

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded as text such as "1.5s" in documents
// and settings, and as an integer number of nanoseconds in CBOR.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the textual form of d, for example "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for
// text that time.ParseDuration rejects.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"500ms\" or \"10s\"", text)
	}
	*d = Duration(v)
	return nil
}
