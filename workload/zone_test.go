package workload_test

import (
	"bytes"
	"slices"
	"testing"

	"magnoliastand.example/workload"
)

func registerIn(zone, id string) workload.Command {
	c := register(id, 1)
	c.Register.Zone = zone
	return c
}

func evacuateZone(zone string, finish bool) workload.Command {
	return workload.Command{EvacuateZone: &workload.EvacuateZone{Zone: zone, Finish: finish}}
}

// Guards against an assignment to a worker of an evacuated zone, whatever a planner proposes,
// and against one that is still rejected after the evacuation.
func TestAssignmentToEvacuatedZoneIsRejected(t *testing.T) {
	s := newState(t)
	mustApply(t, s, registerIn("north", "w1"))
	mustApply(t, s, registerIn("south", "w2"))
	mustApply(t, s, submit(workload.Step{Count: 3, Need: workload.Size{Processors: 1000}}))
	mustApply(t, s, assign(0, 0, 1, "w1"))
	mustApply(t, s, evacuateZone("north", false))
	mustReject(t, s, assign(0, 1, 1, "w1"), workload.ErrNotAssignable)
	mustApply(t, s, assign(0, 1, 1, "w2"))
	if _, task := s.TaskOf(ref(0, 0)); task.State != workload.TaskAssigned {
		t.Error("the run that went on in the zone was ended")
	}
	mustApply(t, s, end(0, 0, 1, "w1", workload.OutcomeStopped))
	mustReject(t, s, assign(0, 0, 2, "w1"), workload.ErrNotAssignable)
	mustApply(t, s, evacuateZone("north", true))
	mustApply(t, s, assign(0, 0, 2, "w1"))
	s.CheckAll()
}

// Guards against a repeated order that changes something: a second start must not begin the
// evacuation anew, and a second finish must not move its end.
func TestZoneOrdersAreIdempotent(t *testing.T) {
	s := newState(t)
	at := func(now workload.Millis, zone string, finish bool) []byte {
		t.Helper()
		c := evacuateZone(zone, finish)
		if err := s.ApplyOne(&c, now); err != nil {
			t.Fatal(err)
		}
		// The clock of the last command is part of snapshots.
		clock := workload.Command{RemoveJobs: &workload.RemoveJobs{}}
		if err := s.ApplyOne(&clock, 1); err != nil {
			t.Fatal(err)
		}
		data, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	none := at(1000, "north", true)
	if first := at(2000, "north", true); !bytes.Equal(first, none) || s.EvacuationEnded("north") != 0 {
		t.Error("the finish of a zone that is not evacuated changed the state")
	}
	started := at(3000, "north", false)
	if !bytes.Equal(at(4000, "north", false), started) {
		t.Error("a repeated start changed the state")
	}
	finished := at(5000, "north", true)
	if !bytes.Equal(at(6000, "north", true), finished) || s.EvacuationEnded("north") != 5000 {
		t.Errorf("a repeated finish changed the state: ended at %d", s.EvacuationEnded("north"))
	}
}

// Guards against an acknowledged evacuation, or the end of one, that a snapshot loses.
func TestSnapshotKeepsEvacuatedZones(t *testing.T) {
	s := newState(t)
	mustApply(t, s, registerIn("north", "w1"))
	mustApply(t, s, submit(workload.Step{Count: 1, Need: workload.Size{Processors: 1000}}))
	for _, zone := range []string{"south", "north", "east"} {
		mustApply(t, s, evacuateZone(zone, false))
	}
	mustApply(t, s, evacuateZone("east", true))
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := workload.New(decodeJSONDocument)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if zones := slices.Sorted(restored.EvacuatedZones()); !slices.Equal(zones, []string{"north", "south"}) {
		t.Errorf("evacuated: %v", zones)
	}
	if restored.EvacuationEnded("east") != 1000 {
		t.Errorf("the end of the evacuation of east is %d", restored.EvacuationEnded("east"))
	}
	mustReject(t, restored, assign(0, 0, 1, "w1"), workload.ErrNotAssignable)
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(again, data) {
		t.Errorf("the restored state has another snapshot (%v)", err)
	}
}

// Guards against a state that grows with every zone name ever used, and against one that
// forgets an evacuation that goes on.
func TestEndedEvacuationsAreForgotten(t *testing.T) {
	s := newState(t)
	const day = 24 * 3600 * 1000
	for _, step := range []struct {
		now workload.Millis
		c   workload.Command
	}{
		{1, evacuateZone("north", false)}, {2, evacuateZone("south", false)}, {3, evacuateZone("south", true)}, {day + 4, evacuateZone("east", false)},
	} {
		if err := s.ApplyOne(&step.c, step.now); err != nil {
			t.Fatal(err)
		}
	}
	if s.EvacuationEnded("south") != 0 || !s.IsEvacuated("north") || !s.IsEvacuated("east") {
		t.Errorf("south ended at %d; evacuated: %v", s.EvacuationEnded("south"), slices.Sorted(s.EvacuatedZones()))
	}
}

// Guards against an entry without a zone, which would exclude workers that name none.
func TestEvacuationNeedsZone(t *testing.T) {
	mustReject(t, newState(t), evacuateZone("", false), workload.ErrMalformed)
}
