package control

import (
	"reflect"
	"testing"
)

// zoneFleet is a delegate with an instance in one zone.
type zoneFleet struct {
	fakeFleet
	zone      string
	evacuated []string
	calls     int
}

func (f *zoneFleet) HasZone(zone string) bool { return zone == f.zone }

func (f *zoneFleet) SetEvacuatedZones(zones []string) {
	f.evacuated = zones
	f.calls++
}

func evacuateCommand(op, zone string, base uint64) *Command {
	return &Command{EvacuateZone: &EvacuateZone{OperationID: op, Zone: zone, BaseVersion: base}}
}

// TestDelegateLearnsEvacuatedZones guards against a delegate that assigns work in a zone
// that was evacuated before a restart or before its replica got a snapshot.
func TestDelegateLearnsEvacuatedZones(t *testing.T) {
	f := &zoneFleet{zone: "z1"}
	s := New(testCluster, Options{Fleet: f})
	wantRefusal(t, applyAll(s, evacuateCommand("a", "z2", 0)), RefusedUnknownZone)
	if r := applyAll(s, evacuateCommand("b", "z1", 0)); r.Refusal != nil || !reflect.DeepEqual(f.evacuated, []string{"z1"}) {
		t.Fatalf("result %+v, the delegate knows %v", r, f.evacuated)
	}
	snap, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g := &zoneFleet{}
	if err := New(testCluster, Options{Fleet: g}).Restore(snap); err != nil || !reflect.DeepEqual(g.evacuated, []string{"z1"}) {
		t.Fatalf("after a restore the delegate knows %v: %v", g.evacuated, err)
	}
	r := applyAll(s, &Command{RestoreZone: &RestoreZone{OperationID: "c", Zone: "z1", BaseVersion: 1}})
	if r.Refusal != nil || len(f.evacuated) != 0 {
		t.Fatalf("result %+v, the delegate knows %v", r, f.evacuated)
	}
}

// TestSnapshotsOfOlderBuildsAreRestored guards against a snapshot that older builds wrote
// and that can't be read, or that leaves the delegate with evacuations of another state.
func TestSnapshotsOfOlderBuildsAreRestored(t *testing.T) {
	s := New(testCluster, Options{Fleet: &fakeFleet{}})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	snap, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := decMode.Unmarshal(snap, &fields); err != nil {
		t.Fatal(err)
	}
	if _, ok := fields[17]; ok {
		t.Fatal("the snapshot has the field of the evacuations, which older builds don't write")
	}
	f := &zoneFleet{evacuated: []string{"z1"}}
	restored := New(testCluster, Options{Fleet: f})
	if err := restored.Restore(snap); err != nil || len(f.evacuated) != 0 || len(restored.View().Evacuations()) != 0 {
		t.Fatalf("evacuated zones %v: %v", f.evacuated, err)
	}
}

// TestLateOrderDoesNotUndoNewerOne guards against a suspended daemon that passes on an
// order after the operator has given up on it and ordered the opposite, also when the
// tombstone of the newer order has been discarded.
func TestLateOrderDoesNotUndoNewerOne(t *testing.T) {
	s := New(testCluster, Options{Fleet: &zoneFleet{zone: "z1"}})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	late := evacuateCommand("late", "z1", s.Version())
	applyAll(s, &Command{RestoreZone: &RestoreZone{OperationID: "r", Zone: "z1", BaseVersion: s.Version()}})
	for i := range 2 * maxTombstones {
		k := testKey(i)
		applyAll(s, grantKeyCommand("g"+k.ID, "team-0", k), withdrawKeyCommand("w"+k.ID, k.ID))
	}
	if _, kept := s.evacuations["z1"]; kept {
		t.Fatal("the tombstone was not discarded")
	}
	wantRefusal(t, applyAll(s, late), RefusedConflict)
	if s.View().ZoneEvacuated("z1") {
		t.Fatal("the late order evacuated the zone")
	}
}

// TestEvacuationReachesDaemonsByDeltas guards against a view that misses an evacuation or
// its end, on daemons that follow every version and on those that missed some.
func TestEvacuationReachesDaemonsByDeltas(t *testing.T) {
	s := New(testCluster, Options{Fleet: &zoneFleet{zone: "z1"}})
	applyAll(s, applyDocumentCommand("a", 0, testDocument(1, 5)))
	h := NewHolder(testCluster)
	offer := func(want bool) {
		t.Helper()
		if _, err := h.Offer(s.Delta(h.View().Version())); err != nil || h.View().ZoneEvacuated("z1") != want {
			t.Fatalf("evacuated: %t, want %t: %v", !want, want, err)
		}
	}
	offer(false)
	applyAll(s, evacuateCommand("b", "z1", s.Version()))
	before := h.View()
	offer(true)
	if before.ZoneEvacuated("z1") {
		t.Fatal("an older view changed")
	}
	applyAll(s, &Command{RestoreZone: &RestoreZone{OperationID: "c", Zone: "z1", BaseVersion: s.Version()}})
	offer(false)
	applyAll(s, evacuateCommand("d", "z1", s.Version()))
	offer(true)
}
