package fleet

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/codec"
)

// Limits on decoded input.
const (
	maxArrayItems = 1 << 20
	maxDepth      = 16
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{Items: maxArrayItems, Depth: maxDepth, Strict: true})
)

// snapshot is the encoded form of a state.
type snapshot struct {
	Version   uint64      `cbor:"1,keyasint"`
	Config    Config      `cbor:"2,keyasint"`
	Instances []*Instance `cbor:"3,keyasint"`
	Waves     []*WaveRun  `cbor:"4,keyasint"`
}

// EncodeCommand returns the canonical CBOR encoding of a command.
func EncodeCommand(c Command) ([]byte, error) {
	b, err := encMode.Marshal(c)
	return b, errors.Wrap(err, "encode fleet command")
}

// DecodeCommand decodes the command in b. Unknown fields and trailing data are
// errors.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return Command{}, errors.Wrap(err, "decode fleet command")
	}
	return c, nil
}

// DecodeResult decodes a result that ApplyBytes returned.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Result{}, errors.Wrap(err, "decode fleet result")
	}
	return r, nil
}

// ApplyBytes applies an encoded command and returns the encoded result. A
// refusal is reported in the result. If b can't be decoded, ApplyBytes returns
// an error and leaves the state unchanged.
func (s *State) ApplyBytes(b []byte) ([]byte, error) {
	c, err := DecodeCommand(b)
	if err != nil {
		return nil, err
	}
	res, err := s.Apply(c)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		res = Result{Refused: refusal.Code, Detail: refusal.Detail}
	}
	out, err := encMode.Marshal(res)
	return out, errors.Wrap(err, "encode fleet result")
}

// Snapshot returns the canonical CBOR encoding of the state. Equal states have
// equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Version: s.version, Config: s.cfg}
	for _, id := range s.sortedIDs {
		snap.Instances = append(snap.Instances, s.instances[id])
	}
	for _, name := range slices.Sorted(maps.Keys(s.waves)) {
		snap.Waves = append(snap.Waves, s.waves[name])
	}
	b, err := encMode.Marshal(snap)
	return b, errors.Wrap(err, "encode fleet snapshot")
}

// Restore replaces the state with the snapshot in b. On error the state is
// unchanged.
func (s *State) Restore(b []byte) error {
	var snap snapshot
	if err := decMode.Unmarshal(b, &snap); err != nil {
		return errors.Wrap(err, "decode fleet snapshot")
	}
	n := New()
	n.version, n.cfg, n.skipBudgetCheck = snap.Version, snap.Config, s.skipBudgetCheck
	for _, i := range snap.Instances {
		if i == nil || n.instances[i.ID] != nil {
			return errors.New("fleet snapshot holds an empty or duplicate instance")
		}
		n.put(i)
	}
	for _, w := range snap.Waves {
		if w == nil {
			return errors.New("fleet snapshot holds an empty wave")
		}
		n.waves[w.Name] = w
	}
	*s = *n
	return nil
}
