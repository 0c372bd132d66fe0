package fleet

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/codec"
)

// Bounds of decoded input.
const (
	maxArray = 1 << 20
	maxDepth = 16
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{Items: maxArray, Depth: maxDepth, Strict: true})
)

// image is the encoded form of a state.
type image struct {
	Version   uint64      `cbor:"1,keyasint"`
	Config    Config      `cbor:"2,keyasint"`
	Instances []*Instance `cbor:"3,keyasint"`
	Waves     []*WaveRun  `cbor:"4,keyasint"`
}

// EncodeCommand returns the canonical CBOR form of a command.
func EncodeCommand(c Command) ([]byte, error) {
	b, err := encMode.Marshal(c)
	return b, errors.Wrap(err, "encode fleet command")
}

// DecodeCommand returns the command in b. It returns an error for unknown
// fields and for anything that is not exactly one command.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return Command{}, errors.Wrap(err, "decode fleet command")
	}
	return c, nil
}

// DecodeResult returns the result in b, as ApplyBytes encoded it.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Result{}, errors.Wrap(err, "decode fleet result")
	}
	return r, nil
}

// ApplyBytes applies an encoded command and returns the encoded result. A
// refusal is part of the result. The error is non-nil only for bytes that hold
// no command; the state is then unchanged.
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

// Snapshot returns the canonical CBOR form of the state. Equal states have
// equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	img := image{Version: s.version, Config: s.cfg}
	for _, id := range s.order {
		img.Instances = append(img.Instances, s.instances[id])
	}
	for _, name := range slices.Sorted(maps.Keys(s.waves)) {
		img.Waves = append(img.Waves, s.waves[name])
	}
	b, err := encMode.Marshal(img)
	return b, errors.Wrap(err, "encode fleet snapshot")
}

// Restore replaces the state with the snapshot in b. On an error the state is
// unchanged.
func (s *State) Restore(b []byte) error {
	var img image
	if err := decMode.Unmarshal(b, &img); err != nil {
		return errors.Wrap(err, "decode fleet snapshot")
	}
	n := New()
	n.version, n.cfg, n.skipRecheck = img.Version, img.Config, s.skipRecheck
	for _, i := range img.Instances {
		if i == nil || n.instances[i.ID] != nil {
			return errors.New("fleet snapshot holds an instance twice or an empty one")
		}
		n.put(i)
	}
	for _, w := range img.Waves {
		if w == nil {
			return errors.New("fleet snapshot holds an empty wave")
		}
		n.waves[w.Name] = w
	}
	*s = *n
	return nil
}
