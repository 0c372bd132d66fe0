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

// simulation applies random commands, including resends and conflicts, to a state and
// compares the results with a simple model. A second replica is restored from
// snapshots at random points, and daemons receive deltas through relays.
type simulation struct {
	rng           *rand.Rand
	opts          Options
	state         *State
	replica       *State
	now           time.Duration
	commands      []*Command
	firstResults  map[string]Result // by operation id
	acceptedBases map[uint64]bool   // base versions of accepted documents
	validKeys     map[string]string // team by key text
	evacuated     map[string]bool   // by zone
	encodedViews  map[uint64][]byte // encoded configuration by version
	relays        []*Holder
	daemons       []*Holder
	deltas        []*Delta
}

func newSimulation(seed uint64, opts Options) *simulation {
	h := &simulation{
		rng:           rand.New(rand.NewPCG(seed, 3)),
		opts:          opts,
		state:         New(testCluster, opts),
		replica:       New(testCluster, opts),
		firstResults:  make(map[string]Result),
		acceptedBases: make(map[uint64]bool),
		validKeys:     make(map[string]string),
		evacuated:     make(map[string]bool),
		encodedViews:  make(map[uint64][]byte),
	}
	for range 3 {
		h.relays = append(h.relays, NewHolder(testCluster))
		h.daemons = append(h.daemons, NewHolder(testCluster))
	}
	return h
}

// nextCommand returns a random command. Some are resends, and some have an outdated
// base version.
func (h *simulation) nextCommand() *Command {
	if len(h.commands) > 0 && h.rng.IntN(4) == 0 {
		return h.commands[h.rng.IntN(len(h.commands))]
	}
	n := len(h.commands)
	op := fmt.Sprintf("op-%d", n)
	team := fmt.Sprintf("team-%d", h.rng.IntN(4))
	zone := fmt.Sprintf("z%d", 1+h.rng.IntN(2))
	var c *Command
	switch h.rng.IntN(11) {
	case 0, 1:
		base := h.state.docVersion - min(h.state.docVersion, uint64(h.rng.IntN(3)/2))
		c = applyDocumentCommand(op, base, h.document())
	case 2, 3:
		c = grantKeyCommand(op, team, testKey(n+1))
	case 4, 5:
		c = withdrawKeyCommand(op, testKey(1+h.rng.IntN(n+1)).ID)
	case 6:
		c = &Command{RegisterDaemon: &RegisterDaemon{Name: "d-" + zone, Incarnation: "i", Zone: zone, Address: "10.0.0.1:1"}}
	case 7:
		c = &Command{AssignArbiter: &AssignArbiter{Zone: zone, Daemon: "d-" + zone, Incarnation: "i", Term: uint64(h.rng.IntN(9))}}
	case 8:
		c = &Command{EvacuateZone: &EvacuateZone{OperationID: op, Zone: zone, BaseVersion: h.zoneBase()}}
	case 9:
		c = &Command{RestoreZone: &RestoreZone{OperationID: op, Zone: zone, BaseVersion: h.zoneBase()}}
	default:
		g := quota.Grant{Zone: zone, Term: h.state.Ledger().Term(zone), Team: team, Units: int64(h.rng.IntN(4))}
		c = &Command{Allot: &quota.Command{Grants: []quota.Grant{g}}}
	}
	h.commands = append(h.commands, c)
	return c
}

// zoneBase returns the base version of an order for a zone; some are outdated.
func (h *simulation) zoneBase() uint64 {
	return h.state.version - min(h.state.version, uint64(h.rng.IntN(3)/2))
}

// document returns a random document; a few are invalid.
func (h *simulation) document() api.Document {
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

// step applies one command to both replicas and checks the result.
func (h *simulation) step() error {
	c := *h.nextCommand()
	h.now += time.Duration(h.rng.IntN(5)) * time.Second
	c.At, c.Applied, c.UnixMilli = h.now, h.state.Index(), int64(h.now/time.Millisecond)
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
		return fmt.Errorf("results of replicas differ: %+v and %+v", r, got)
	}
	if err := h.checkResult(&c, &r); err != nil {
		return err
	}
	return h.compare()
}

// checkResult compares a result with the model and updates the model.
func (h *simulation) checkResult(c *Command, r *Result) error {
	id, _, identified := operationIdentity(c)
	if identified {
		if first, known := h.firstResults[id]; known {
			first.Repeated = true
			if !reflect.DeepEqual(first, *r) {
				return fmt.Errorf("operation %s: first result %+v, repeated result %+v", id, first, *r)
			}
			return nil
		}
		h.firstResults[id] = *r
	}
	if r.Refusal == nil {
		return h.updateModel(c)
	}
	return nil
}

// updateModel applies an accepted command to the model.
func (h *simulation) updateModel(c *Command) error {
	switch {
	case c.ApplyDocument != nil:
		if h.acceptedBases[c.ApplyDocument.BaseVersion] {
			return fmt.Errorf("two documents on base %d were accepted", c.ApplyDocument.BaseVersion)
		}
		h.acceptedBases[c.ApplyDocument.BaseVersion] = true
	case c.GrantKey != nil:
		var n int
		if _, err := fmt.Sscanf(c.GrantKey.KeyID, "%016x", &n); err != nil {
			return err
		}
		h.validKeys[testKey(n).Text] = c.GrantKey.Team
	case c.WithdrawKey != nil:
		for text := range h.validKeys {
			if id, _ := splitKey(text); id == c.WithdrawKey.KeyID {
				delete(h.validKeys, text)
			}
		}
	case c.EvacuateZone != nil:
		h.evacuated[c.EvacuateZone.Zone] = true
	case c.RestoreZone != nil:
		delete(h.evacuated, c.RestoreZone.Zone)
	}
	return nil
}

// compare checks that replicas have equal snapshots, that a version never changes its
// content, that exactly the valid keys of the model authorize, and that
// exactly its evacuated zones are evacuated.
func (h *simulation) compare() error {
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
	if old, ok := h.encodedViews[v.Version()]; ok && !bytes.Equal(old, full) {
		return fmt.Errorf("the content of version %d changed", v.Version())
	}
	h.encodedViews[v.Version()] = full
	for n := range len(h.commands) {
		key := testKey(n + 1)
		want := h.validKeys[key.Text]
		if _, ok := v.Index().Team(want); !ok {
			want = ""
		}
		if team, _ := v.Authorize(key.Text); team != want {
			return fmt.Errorf("key %s authorizes %q, want %q", key.ID, team, want)
		}
	}
	for _, zone := range []string{"z1", "z2"} {
		if v.ZoneEvacuated(zone) != h.evacuated[zone] {
			return fmt.Errorf("zone %s evacuated: %t, want %t", zone, v.ZoneEvacuated(zone), h.evacuated[zone])
		}
	}
	return h.distribute()
}

// distribute delivers deltas to relays and daemons, including outdated ones and in
// random order, and checks that their views match the state at the same version.
func (h *simulation) distribute() error {
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
		if err := h.offerDelta(to); err != nil {
			return err
		}
		if to.View().Version() < before {
			return fmt.Errorf("the version of a daemon decreased from %d to %d", before, to.View().Version())
		}
	}
	for _, to := range append(h.daemons, h.relays...) {
		v := to.View()
		got, err := EncodeDelta(v.FullDelta())
		if err != nil {
			return err
		}
		if v.Version() > 0 && !bytes.Equal(got, h.encodedViews[v.Version()]) {
			return fmt.Errorf("a daemon's version %d differs from the state's", v.Version())
		}
	}
	return nil
}

// offerDelta delivers a random delta to a daemon. After a GapError it delivers the full
// configuration of a relay.
func (h *simulation) offerDelta(to *Holder) error {
	var gap *GapError
	_, err := to.Offer(h.deltas[h.rng.IntN(len(h.deltas))])
	if errors.As(err, &gap) {
		_, err = to.Offer(h.relays[h.rng.IntN(len(h.relays))].View().FullDelta())
	}
	return err
}

func TestRandomCommandsWithResendsConflictsAndRestores(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newSimulation(rapid.Uint64().Draw(t, "seed"), Options{})
		for i := range rapid.IntRange(10, 80).Draw(t, "steps") {
			steps++
			if err := h.step(); err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
		}
	})
	t.Logf("%d commands applied", steps)
}

// TestCheckerDetectsDisabledProtections disables one protection at a time and checks
// that the simulation detects the resulting violation.
func TestCheckerDetectsDisabledProtections(t *testing.T) {
	for name, opts := range map[string]Options{
		"deduplication": {disableDeduplication: true},
		"base version":  {disableBaseVersionCheck: true},
	} {
		detectedSeed := -1
		for seed := 0; seed < 200 && detectedSeed < 0; seed++ {
			h := newSimulation(uint64(seed), opts)
			for range 60 {
				if h.step() != nil {
					detectedSeed = seed
					break
				}
			}
		}
		t.Logf("%s disabled: violation detected with seed %d", name, detectedSeed)
		if detectedSeed < 0 {
			t.Errorf("%s disabled: no violation detected", name)
		}
	}
}
