package control

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliastand.example/api"
	"magnoliastand.example/quota"
)

// history drives a state with drawn commands, resends and conflicts, beside a
// simple model of what must come out. A second replica is snapshotted and
// restored at random points, and daemons follow through relays.
type history struct {
	rng     *rand.Rand
	opts    Options
	state   *State
	replica *State
	at      time.Duration
	sent    []*Command
	first   map[string]Result // the first result of each operation id
	bases   map[uint64]bool   // base versions that won
	keys    map[string]string // valid keys: text to team
	full    map[uint64][]byte // the encoded configuration at each version
	relays  []*Holder
	daemons []*Holder
	deltas  []*Delta
}

func newHistory(seed uint64, opts Options) *history {
	h := &history{
		rng:     rand.New(rand.NewPCG(seed, 3)),
		opts:    opts,
		state:   New(testCluster, opts),
		replica: New(testCluster, opts),
		first:   make(map[string]Result),
		bases:   make(map[uint64]bool),
		keys:    make(map[string]string),
		full:    make(map[uint64][]byte),
	}
	for range 3 {
		h.relays = append(h.relays, NewHolder(testCluster))
		h.daemons = append(h.daemons, NewHolder(testCluster))
	}
	return h
}

// draw returns the next command; some are resent, some build on old versions.
func (h *history) draw() *Command {
	if len(h.sent) > 0 && h.rng.IntN(4) == 0 {
		return h.sent[h.rng.IntN(len(h.sent))]
	}
	n := len(h.sent)
	op := fmt.Sprintf("op-%d", n)
	team := fmt.Sprintf("team-%d", h.rng.IntN(4))
	zone := fmt.Sprintf("z%d", 1+h.rng.IntN(2))
	var c *Command
	switch h.rng.IntN(9) {
	case 0, 1:
		base := h.state.docVersion - min(h.state.docVersion, uint64(h.rng.IntN(3)/2))
		c = applyDoc(op, base, h.document())
	case 2, 3:
		c = grantKey(op, team, testKey(n+1))
	case 4, 5:
		c = withdrawKey(op, testKey(1+h.rng.IntN(n+1)).ID)
	case 6:
		c = &Command{RegisterDaemon: &RegisterDaemon{Name: "d-" + zone, Incarnation: "i", Zone: zone, Address: "10.0.0.1:1"}}
	case 7:
		c = &Command{AssignArbiter: &AssignArbiter{Zone: zone, Daemon: "d-" + zone, Incarnation: "i", Term: uint64(h.rng.IntN(9))}}
	default:
		g := quota.Grant{Zone: zone, Term: h.state.Ledger().Term(zone), Team: team, Units: int64(h.rng.IntN(4))}
		c = &Command{Allot: &quota.Command{Grants: []quota.Grant{g}}}
	}
	h.sent = append(h.sent, c)
	return c
}

// document returns a document of which any part may differ from others; a few
// are invalid.
func (h *history) document() api.Document {
	doc := testDocument(h.rng.IntN(5), max(h.rng.IntN(40)-1, -1))
	if h.rng.IntN(2) == 0 {
		doc.Budgets = []api.Budget{{Scope: api.ScopePool, MaxUnavailable: h.rng.IntN(3)}}
	}
	if h.rng.IntN(3) == 0 {
		doc.Services = nil
	}
	doc.Objective.Moves = float64(h.rng.IntN(3))
	doc.Services = append([]api.Service{}, doc.Services...)
	doc.AvailabilityZones = doc.AvailabilityZones[:1+h.rng.IntN(2)]
	return doc
}

// step applies one command everywhere and compares the result with the model.
func (h *history) step() error {
	c := *h.draw()
	h.at += time.Duration(h.rng.IntN(5)) * time.Second
	c.At, c.Applied, c.UnixMilli = h.at, h.state.Index(), int64(h.at/time.Millisecond)
	entry, err := EncodeCommand(&c)
	if err != nil {
		return err
	}
	decoded, err := DecodeCommand(entry)
	if err != nil {
		return err
	}
	index := h.state.Index() + 1 + uint64(h.rng.IntN(2))
	r := h.state.Apply(index, &c)
	if got := h.replica.Apply(index, decoded); !reflect.DeepEqual(got, r) {
		return fmt.Errorf("replicas answer %+v and %+v", r, got)
	}
	if err := h.model(&c, &r); err != nil {
		return err
	}
	return h.compare()
}

// model checks a result and updates what must hold.
func (h *history) model(c *Command, r *Result) error {
	id, _, identified := operationIdentity(c)
	if identified {
		if first, known := h.first[id]; known {
			first.Repeated = true
			if !reflect.DeepEqual(first, *r) {
				return fmt.Errorf("operation %s: first %+v, then %+v", id, first, *r)
			}
			return nil
		}
		h.first[id] = *r
	}
	if r.Refusal == nil {
		return h.accept(c)
	}
	return nil
}

// accept updates the model by an accepted command.
func (h *history) accept(c *Command) error {
	switch {
	case c.ApplyDocument != nil:
		if h.bases[c.ApplyDocument.BaseVersion] {
			return fmt.Errorf("two documents on base %d were accepted", c.ApplyDocument.BaseVersion)
		}
		h.bases[c.ApplyDocument.BaseVersion] = true
	case c.GrantKey != nil:
		var n int
		if _, err := fmt.Sscanf(c.GrantKey.KeyID, "%016x", &n); err != nil {
			return err
		}
		h.keys[testKey(n).Text] = c.GrantKey.Team
	case c.WithdrawKey != nil:
		for text := range h.keys {
			if id, _ := splitKey(text); id == c.WithdrawKey.KeyID {
				delete(h.keys, text)
			}
		}
	}
	return nil
}

// compare checks replicas, snapshots, views and daemons against each other.
func (h *history) compare() error {
	a, err := h.state.Snapshot()
	if err != nil {
		return err
	}
	b, err := h.replica.Snapshot()
	if err != nil {
		return err
	}
	if !bytes.Equal(a, b) {
		return errors.New("snapshots of replicas differ")
	}
	if h.rng.IntN(5) == 0 {
		h.replica = New(testCluster, h.opts)
		if err := h.replica.Restore(a); err != nil {
			return err
		}
	}
	v := h.state.View()
	full, err := EncodeDelta(v.FullDelta())
	if err != nil {
		return err
	}
	if old, ok := h.full[v.Version()]; ok && !bytes.Equal(old, full) {
		return fmt.Errorf("version %d changed", v.Version())
	}
	h.full[v.Version()] = full
	for n := range len(h.sent) {
		key := testKey(n + 1)
		want := h.keys[key.Text]
		if _, ok := v.Index().Team(want); !ok {
			want = ""
		}
		if team, _ := v.Authorize(key.Text); team != want {
			return fmt.Errorf("key %s authorizes %q, want %q", key.ID, team, want)
		}
	}
	return h.spread()
}

// spread moves deltas to relays and daemons, also old ones and in any order.
func (h *history) spread() error {
	r := h.relays[h.rng.IntN(len(h.relays))]
	d := h.state.Delta(r.View().Version())
	h.deltas = append(h.deltas, d)
	if h.rng.IntN(2) == 0 {
		if _, err := r.Offer(d); err != nil {
			return err
		}
	}
	for range 2 {
		to := h.daemons[h.rng.IntN(len(h.daemons))]
		before := to.View().Version()
		if err := h.offer(to); err != nil {
			return err
		}
		if to.View().Version() < before {
			return fmt.Errorf("a daemon went from version %d to %d", before, to.View().Version())
		}
	}
	for _, to := range append(h.daemons, h.relays...) {
		v := to.View()
		got, err := EncodeDelta(v.FullDelta())
		if err != nil {
			return err
		}
		if v.Version() > 0 && !bytes.Equal(got, h.full[v.Version()]) {
			return fmt.Errorf("a daemon's version %d differs from the state's", v.Version())
		}
	}
	return nil
}

// offer gives a daemon some delta; after a gap it asks a relay for everything.
func (h *history) offer(to *Holder) error {
	var gap *GapError
	_, err := to.Offer(h.deltas[h.rng.IntN(len(h.deltas))])
	if errors.As(err, &gap) {
		_, err = to.Offer(h.relays[h.rng.IntN(len(h.relays))].View().FullDelta())
	}
	return err
}

func TestHistoriesWithResendsConflictsAndRestores(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.Uint64().Draw(t, "seed"), Options{})
		for i := range rapid.IntRange(10, 80).Draw(t, "steps") {
			steps++
			if err := h.step(); err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
		}
	})
	t.Logf("%d commands applied", steps)
}

// TestHistoryCheckerCatchesEachBreach takes out one protection after the other.
func TestHistoryCheckerCatchesEachBreach(t *testing.T) {
	for name, opts := range map[string]Options{
		"kept results": {disableDeduplication: true},
		"base version": {disableBaseVersionCheck: true},
	} {
		caught := -1
		for seed := 0; seed < 200 && caught < 0; seed++ {
			h := newHistory(uint64(seed), opts)
			for range 60 {
				if h.step() != nil {
					caught = seed
					break
				}
			}
		}
		t.Logf("%s off: breach with seed %d", name, caught)
		if caught < 0 {
			t.Errorf("%s off: no breach found", name)
		}
	}
}
