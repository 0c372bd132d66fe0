package control

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
)

// applyAll applies commands at consecutive indexes and returns the last result.
func applyAll(s *State, cmds ...*Command) Result {
	var r Result
	for _, c := range cmds {
		r = s.Apply(s.Index()+1, c)
	}
	return r
}

func wantRefusal(t *testing.T, r Result, code RefusalCode) {
	t.Helper()
	if r.Refusal == nil || r.Refusal.Code != code {
		t.Fatalf("got %+v (%v), want refusal %s", r, r.Refusal, code)
	}
}

func TestOperationsAreBoundedAndKeptForTheWindow(t *testing.T) {
	s := New(testCluster, Options{})
	for i := range MaxOperations {
		c := withdrawKeyCommand("op-"+testKey(i).ID, testKey(i).ID)
		c.At = time.Duration(i)
		applyAll(s, c)
	}
	late := withdrawKeyCommand("late", testKey(1).ID)
	late.At = OperationWindow
	wantRefusal(t, applyAll(s, late), RefusedOperationsFull)
	if r := applyAll(s, withdrawKeyCommand("op-"+testKey(0).ID, testKey(0).ID)); !r.Repeated {
		t.Fatal("a result within the window was dropped")
	}
	late.At = OperationWindow + 1
	wantRefusal(t, applyAll(s, late), RefusedNotFound)
	if len(s.ops.queue) > MaxOperations || len(s.ops.byID) != len(s.ops.queue) {
		t.Fatalf("%d results kept", len(s.ops.queue))
	}
}

func TestMalformedCommandsAreRefused(t *testing.T) {
	s := New(testCluster, Options{})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	two := grantKeyCommand("k", "team-0", testKey(1))
	two.Tick = &Tick{}
	wantRefusal(t, applyAll(s, &Command{}), RefusedMalformed)
	wantRefusal(t, applyAll(s, two), RefusedMalformed)
	wantRefusal(t, applyAll(s, &Command{Fleet: []byte{1}}), RefusedFleet)
	bad := testDocument(1, -1)
	r := applyAll(s, applyDocumentCommand("b", 1, bad))
	wantRefusal(t, r, RefusedDocument)
	if len(r.Refusal.Faults) != 1 || r.Refusal.Faults[0].Path != "teams[0].limit" {
		t.Fatalf("faults %v", r.Refusal.Faults)
	}
	if s.Version() != 1 {
		t.Fatalf("a refused command changed the version to %d", s.Version())
	}
}

func TestViewsAreImmutable(t *testing.T) {
	s := New(testCluster, Options{})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)), grantKeyCommand("k1", "team-0", testKey(1)))
	before := s.View()
	applyAll(s, withdrawKeyCommand("w1", testKey(1).ID), applyDocumentCommand("b", 1, testDocument(0, 0)))
	if team, err := before.Authorize(testKey(1).Text); err != nil || team != "team-0" {
		t.Fatal("an older view changed")
	}
}

func TestAuthorizeRefusesInvalidKeys(t *testing.T) {
	s := New(testCluster, Options{})
	k := testKey(1)
	applyAll(s, applyDocumentCommand("a", 0, testDocument(2, 5)), grantKeyCommand("k1", "team-1", k))
	wrong := k.Text[:len(k.Text)-1] + "f"
	for _, text := range []string{"mk_", k.Text + "0", k.Text[1:], wrong, "MK" + k.Text[2:], testKey(9).Text} {
		if _, err := s.View().Authorize(text); !errors.Is(err, ErrKeyInvalid) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := s.View().Authorize(""); !errors.Is(err, ErrKeyMissing) {
		t.Error(err)
	}
	fresh := NewKey()
	if id, ok := splitKey(fresh.Text); !ok || id != fresh.ID || fresh.Hash != HashKey(fresh.Text) {
		t.Errorf("generated key %q is malformed", fresh.Text)
	}
}

func TestHolderRejectsOlderVersions(t *testing.T) {
	s := New(testCluster, Options{})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	old := s.Delta(0)
	oldView := s.View()
	applyAll(s, applyDocumentCommand("b", 1, testDocument(2, 5)))
	h := NewHolder(testCluster)
	if ok, err := h.Offer(s.Delta(0)); !ok || err != nil {
		t.Fatal(ok, err)
	}
	if ok, _ := h.Offer(old); ok {
		t.Fatal("an older delta was accepted")
	}
	if ok, _ := h.OfferView(oldView); ok || h.View().Version() != 2 {
		t.Fatal("an older view was accepted")
	}
	other := New("cluster-b", Options{})
	applyAll(other, applyDocumentCommand("a", 0, testDocument(1, 5)))
	if _, err := h.Offer(other.Delta(0)); !errors.Is(err, ErrOtherCluster) {
		t.Fatal(err)
	}
	if _, err := h.OfferView(other.View()); !errors.Is(err, ErrOtherCluster) {
		t.Fatal(err)
	}
	applyAll(s, grantKeyCommand("k", "team-0", testKey(1)), grantKeyCommand("l", "team-1", testKey(2)))
	var gap *GapError
	if _, err := h.Offer(s.Delta(3)); !errors.As(err, &gap) || gap.Have != 2 || gap.From != 3 {
		t.Fatal(err)
	}
}

// TestInvariantDetectsViewRollback checks that the invariant reports a holder that
// accepts an older view.
func TestInvariantDetectsViewRollback(t *testing.T) {
	breaches := recordBreaches(t)
	s := New(testCluster, Options{})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	old := s.View()
	applyAll(s, applyDocumentCommand("b", 1, testDocument(2, 5)))
	h := NewHolder(testCluster)
	h.allowRollback = true
	h.OfferView(s.View())
	h.OfferView(old)
	if len(*breaches) != 1 || (*breaches)[0].Invariant != invariant.ConfigNeverReverts {
		t.Fatalf("breaches %v", *breaches)
	}
}

// recordBreaches collects invariant breaches until the test ends.
func recordBreaches(t *testing.T) *[]invariant.Breach {
	t.Helper()
	var got []invariant.Breach
	old := invariant.SetSink(func(b invariant.Breach) { got = append(got, b) })
	t.Cleanup(func() { invariant.SetSink(old) })
	return &got
}

func TestHolderWait(t *testing.T) {
	s := New(testCluster, Options{})
	h := NewHolder(testCluster)
	done := make(chan *View)
	go func() {
		v, _ := h.Wait(context.Background(), 2)
		done <- v
	}()
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	h.OfferView(s.View())
	applyAll(s, applyDocumentCommand("b", 1, testDocument(1, 6)))
	h.OfferView(s.View())
	if v := <-done; v.Version() != 2 {
		t.Fatalf("version %d", v.Version())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := h.Wait(ctx, 3); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}

func TestTombstonesAreBoundedAndDeltasStayComplete(t *testing.T) {
	s := New(testCluster, Options{})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	h := NewHolder(testCluster)
	h.Offer(s.Delta(0))
	stale := NewHolder(testCluster)
	applyAll(s, grantKeyCommand("g0", "team-0", testKey(1)))
	stale.Offer(s.Delta(0))
	applyAll(s, withdrawKeyCommand("w0", testKey(1).ID))
	for i := 2; i < 2*maxTombstones; i++ {
		k := testKey(i)
		applyAll(s, grantKeyCommand("g"+k.ID, "team-0", k), withdrawKeyCommand("w"+k.ID, k.ID))
		h.Offer(s.Delta(h.View().Version()))
	}
	if s.tombstones > maxTombstones || len(s.keys) > maxTombstones {
		t.Fatalf("%d tombstones", s.tombstones)
	}
	d := s.Delta(stale.View().Version())
	if !d.Full {
		t.Fatal("a delta from before a discarded tombstone is not full")
	}
	stale.Offer(d)
	if len(stale.View().Keys("")) != 0 || len(h.View().Keys("")) != 0 {
		t.Fatal("a withdrawn key is still valid")
	}
}

func TestForeignAndTruncatedSnapshotsAreRefused(t *testing.T) {
	s := New(testCluster, Options{})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	snap, _ := s.Snapshot()
	if err := New("cluster-b", Options{}).Restore(snap); !errors.Is(err, ErrOtherCluster) {
		t.Fatal(err)
	}
	if err := s.Restore(snap[:len(snap)/2]); err == nil || s.Version() != 1 {
		t.Fatal("a truncated snapshot was restored")
	}
	again, _ := s.Snapshot()
	if !bytes.Equal(snap, again) {
		t.Fatal("snapshots of one state differ")
	}
}

// fakeFleet is a delegate that stores its last command and document.
type fakeFleet struct {
	last []byte
	doc  *api.Document
}

func (f *fakeFleet) Apply(cmd []byte) ([]byte, error) {
	if string(cmd) == "bad" {
		return nil, errors.New("bad command")
	}
	f.last = cmd
	return append([]byte("did "), cmd...), nil
}
func (f *fakeFleet) Snapshot() ([]byte, error)         { return f.last, nil }
func (f *fakeFleet) Restore(b []byte) error            { f.last = b; return nil }
func (f *fakeFleet) DocumentApplied(doc *api.Document) { f.doc = doc }

func TestFleetIsDelegated(t *testing.T) {
	f := &fakeFleet{}
	s := New(testCluster, Options{Fleet: f})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	r := applyAll(s, &Command{Fleet: []byte("move")})
	wantRefusal(t, applyAll(s, &Command{Fleet: []byte("bad")}), RefusedFleet)
	if string(r.Fleet) != "did move" || f.doc == nil {
		t.Fatalf("result %+v, document %v", r, f.doc)
	}
	snap, _ := s.Snapshot()
	g := &fakeFleet{}
	if err := New(testCluster, Options{Fleet: g}).Restore(snap); err != nil || string(g.last) != "move" {
		t.Fatal(err, g.last)
	}
}

func TestLeaderClockContinuesFromTheLog(t *testing.T) {
	mono := 100 * time.Second
	c := NewClock(7*time.Second, func() time.Duration { return mono })
	mono += 3 * time.Second
	var cmd Command
	c.Stamp(&cmd, 8, time.UnixMilli(9))
	if cmd.At != 10*time.Second || cmd.Applied != 8 || cmd.UnixMilli != 9 {
		t.Fatalf("stamped %+v", cmd)
	}
}
