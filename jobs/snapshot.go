package jobs

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/codec"
)

// Limits on decoded input.
const (
	maxArray = 1 << 17
	maxDepth = 16
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{Items: maxArray, Depth: maxDepth, Strict: true})
)

// workerIncarnations lists the previous incarnations of a worker.
type workerIncarnations struct {
	Worker       string   `cbor:"1,keyasint"`
	Incarnations []string `cbor:"2,keyasint"`
}

// image is the serialized form of a state.
type image struct {
	Now      Millis               `cbor:"1,keyasint"`
	Seq      uint64               `cbor:"2,keyasint"`
	Epoch    uint64               `cbor:"3,keyasint"`
	Jobs     []*Job               `cbor:"4,keyasint"`
	Workers  []*Worker            `cbor:"5,keyasint"`
	Teams    []Team               `cbor:"6,keyasint"`
	Samples  []Sample             `cbor:"7,keyasint"`
	Finished []string             `cbor:"8,keyasint"`
	Past     []workerIncarnations `cbor:"9,keyasint"`
	Version  uint64               `cbor:"10,keyasint"`
	Restarts []restart            `cbor:"11,keyasint,omitempty"`
}

// EncodeCommand returns the canonical CBOR form of a command.
func EncodeCommand(c Command) ([]byte, error) {
	b, err := encMode.Marshal(c)
	return b, errors.Wrap(err, "encode jobs command")
}

// DecodeCommand returns the command in b. It returns an error for unknown
// fields and rules, for more than MaxChanges changes and if b is not exactly one
// command.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return Command{}, errors.Wrap(err, "decode jobs command")
	}
	if len(c.Changes) > MaxChanges {
		return Command{}, errors.Errorf("jobs command has %d changes of at most %d", len(c.Changes), MaxChanges)
	}
	if c.Rules < RulesInitial || c.Rules > CurrentRules {
		return Command{}, errors.Errorf("jobs command has rules %d, this build knows %d", c.Rules, CurrentRules)
	}
	return c, nil
}

// DecodeResult returns the result in b, as ApplyBytes encoded it.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Result{}, errors.Wrap(err, "decode jobs result")
	}
	return r, nil
}

// ApplyBytes applies an encoded command and returns the encoded result.
// Refusals are part of the result. If b is not a valid command, it returns an
// error and leaves the state unmodified.
func (s *State) ApplyBytes(b []byte) ([]byte, error) {
	c, err := DecodeCommand(b)
	if err != nil {
		return nil, err
	}
	out, err := encMode.Marshal(s.Apply(c))
	return out, errors.Wrap(err, "encode jobs result")
}

// Snapshot returns the canonical CBOR form of the state. Equal states have
// equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	img := image{Version: s.version, Now: s.now, Seq: s.seq, Epoch: s.epoch, Samples: s.samples, Finished: s.finished, Jobs: s.jobList, Workers: s.workerList, Restarts: s.restarts}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		img.Teams = append(img.Teams, s.teams[name])
	}
	for _, id := range slices.Sorted(maps.Keys(s.pastIncarnations)) {
		img.Past = append(img.Past, workerIncarnations{id, s.pastIncarnations[id]})
	}
	b, err := encMode.Marshal(img)
	return b, errors.Wrap(err, "encode jobs snapshot")
}

// Restore replaces the state with the snapshot in b. On an error the state is
// unchanged.
func (s *State) Restore(b []byte) error {
	var img image
	if err := decMode.Unmarshal(b, &img); err != nil {
		return errors.Wrap(err, "decode jobs snapshot")
	}
	n := New()
	n.now, n.seq, n.epoch, n.opts = img.Now, img.Seq, img.Epoch, s.opts
	n.samples, n.version, n.restarts = img.Samples, img.Version, img.Restarts
	for _, j := range img.Jobs {
		if j == nil || n.jobs[j.ID] != nil {
			return errors.New("jobs snapshot has a duplicate or empty job")
		}
		n.putJob(j)
	}
	for _, w := range img.Workers {
		if w == nil || n.workers[w.ID] != nil {
			return errors.New("jobs snapshot has a duplicate or empty worker")
		}
		n.putWorker(w)
	}
	for _, t := range img.Teams {
		n.teams[t.Name] = t
	}
	for _, p := range img.Past {
		n.pastIncarnations[p.Worker] = p.Incarnations
	}
	if err := n.restoreFinished(img.Finished); err != nil {
		return err
	}
	*s = *n
	return nil
}

// restoreFinished sets the order in which jobs finished.
func (s *State) restoreFinished(ids []string) error {
	if len(ids) != len(s.finished) {
		return errors.Errorf("jobs snapshot lists %d finished jobs but contains %d", len(ids), len(s.finished))
	}
	for _, id := range ids {
		if j := s.jobs[id]; j == nil || !j.State.Finished() {
			return errors.Errorf("jobs snapshot lists job %q as finished, but it is missing or not finished", id)
		}
	}
	s.finished = ids
	return nil
}
