package placement

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastand.example/api"
)

// TestMain sets a fixed seed for property tests unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawSize(t *rapid.T, limit int) Size {
	return Size{
		Slots: 1, Processors: rapid.IntRange(0, limit).Draw(t, "processors"),
		MemoryMB: rapid.IntRange(0, limit).Draw(t, "memory"), Accelerators: rapid.IntRange(0, 1).Draw(t, "accelerators"),
	}
}

// TestPlaceKeepsBounds checks that placements exceed no worker's capacity, no
// team's limit and no reserve, that none is on a closed worker, and that equal
// input gives equal output.
func TestPlaceKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{Order: LowestUse{}, Classes: Classes{QuickReserve: 0.25}}
		free := map[string]Size{}
		slots := 0
		for n := range rapid.IntRange(0, 8).Draw(t, "workers") {
			w := Worker{
				ID: fmt.Sprint(n), Rack: fmt.Sprint(n / 2), Capacity: drawSize(t, 40),
				Used: drawSize(t, 4), Open: rapid.Bool().Draw(t, "open"),
			}
			w.Capacity.Slots = 4
			if w.Open {
				free[w.ID] = w.Capacity.Sub(w.Used)
				slots += w.Capacity.Slots
			}
			in.Workers = append(in.Workers, w)
		}
		for n := range rapid.IntRange(0, 4).Draw(t, "teams") {
			q := TeamQueue{TeamUse: TeamUse{Team: fmt.Sprint(n), Share: 1 + float64(n)}, Limit: rapid.IntRange(-1, 5).Draw(t, "limit")}
			for k := range rapid.IntRange(0, 12).Draw(t, "tasks") {
				task := Task{ID: fmt.Sprint(n, k), Team: q.Team, Declared: drawSize(t, 20), Class: api.ClassQuick}
				if k%2 == 0 {
					task.Class = api.ClassLong
					q.Long = append(q.Long, task)
					continue
				}
				q.Quick = append(q.Quick, task)
			}
			in.Teams = append(in.Teams, q)
		}
		starts := Place(in)
		if again := Place(in); !slices.EqualFunc(starts, again, func(a, b Start) bool {
			return a.Task.ID == b.Task.ID && a.Worker == b.Worker
		}) {
			t.Fatal("second call with equal input returned a different placement")
		}
		checkStarts(t, in, starts, free, slots)
	})
}

func checkStarts(t *rapid.T, in Input, starts []Start, free map[string]Size, slots int) {
	long := 0
	perTeam := map[string]int{}
	for _, s := range starts {
		left, open := free[s.Worker]
		if !open || !s.Size.Fits(left) {
			t.Fatalf("task %s of size %v does not fit worker %s with %v free", s.Task.ID, s.Size, s.Worker, left)
		}
		free[s.Worker] = left.Sub(s.Size)
		perTeam[s.Task.Team]++
		if s.Task.Class == api.ClassLong {
			long++
		}
	}
	if 4*long > 3*slots {
		t.Fatalf("%d long tasks started on %d slots with a quick reserve of 0.25", long, slots)
	}
	for _, q := range in.Teams {
		if q.Limit >= 0 && perTeam[q.Team] > q.Limit {
			t.Fatalf("team %s started %d tasks with a limit of %d", q.Team, perTeam[q.Team], q.Limit)
		}
	}
}

// TestEntitlements checks that the allocation is weighted max-min fair: it uses
// the whole capacity, no team exceeds its demand, and no team with unmet demand
// gets less for its share than another.
func TestEntitlements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var teams []TeamUse
		demand := 0.0
		for n := range rapid.IntRange(1, 8).Draw(t, "teams") {
			u := TeamUse{Team: fmt.Sprint(n), Share: rapid.Float64Range(0.5, 9).Draw(t, "share"), Demand: rapid.Float64Range(0, 1).Draw(t, "demand")}
			demand += u.Demand
			teams = append(teams, u)
		}
		out := Entitlements(1, teams)
		sum, maxPerShare := 0.0, 0.0
		for n, e := range out {
			sum += e
			maxPerShare = max(maxPerShare, e/teams[n].Share)
			if e > teams[n].Demand {
				t.Fatalf("entitlement exceeds the demand of %+v", teams[n])
			}
		}
		if want := min(1, demand); sum < want-1e-9 || sum > want+1e-9 {
			t.Fatalf("sum of entitlements is %v, want %v", sum, want)
		}
		for n, e := range out {
			if e < teams[n].Demand-1e-9 && e/teams[n].Share < maxPerShare-1e-9 {
				t.Fatalf("team %d is short of %v while another team gets more for its share", n, teams[n].Demand-e)
			}
		}
	})
}

// TestBacklogMatchesModel compares a Backlog with a slice of ids under random
// operations.
func TestBacklogMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBacklog()
		var model []string
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "id"))
			at := slices.Index(model, id)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				if b.Push(Task{ID: id}) != (at < 0) {
					t.Fatalf("Push(%s) returned the wrong result", id)
				}
				if at < 0 {
					model = append(model, id)
				}
			case 2:
				if b.Cancel(id) != (at >= 0) {
					t.Fatalf("Cancel(%s) returned the wrong result", id)
				}
				if at >= 0 {
					model = slices.Delete(model, at, at+1)
				}
			case 3:
				b.Remove(id)
				if at >= 0 {
					model = slices.Delete(model, at, at+1)
				}
			}
			var have []string
			for _, task := range b.Head(100) {
				have = append(have, task.ID)
			}
			if !slices.Equal(have, model) || b.Len() != len(model) {
				t.Fatalf("backlog has %v, want %v", have, model)
			}
		}
	})
}
