package jobs_test

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/scheduler"
)

// scenario holds the state shared by the directives of one file.
type scenario struct {
	state *jobs.State
	now   jobs.Millis
	seq   uint64
	// rules are those of the commands.
	rules jobs.Rules
}

// row is one input line, split into words and key=value options.
type row struct {
	words []string
	opts  map[string]string
}

func rowsOf(input string) []row {
	var out []row
	for line := range strings.Lines(input) {
		r := row{opts: map[string]string{}}
		for _, w := range strings.Fields(line) {
			if k, v, ok := strings.Cut(w, "="); ok {
				r.opts[k] = v
				continue
			}
			r.words = append(r.words, w)
		}
		out = append(out, r)
	}
	return out
}

func (r row) num(key string) int {
	n, _ := strconv.Atoi(r.opts[key])
	return n
}

func (r row) has(word string) bool { return slices.Contains(r.words, word) }

func (r row) size() jobs.Size {
	return jobs.Size{Processors: 1_000 * r.num("cores"), MemoryMB: r.num("mb")}
}

// TestExamples runs the scenarios of testdata/examples.
func TestExamples(t *testing.T) {
	datadriven.Walk(t, "testdata/examples", func(t *testing.T, path string) {
		sc := &scenario{state: jobs.New(), rules: jobs.CurrentRules}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			for _, a := range d.CmdArgs {
				n, _ := strconv.Atoi(a.Vals[0])
				switch a.Key {
				case "at":
					sc.now = jobs.Millis(n)
				case "rules":
					sc.rules = jobs.Rules(n)
				}
			}
			return sc.run(t, d)
		})
	})
}

func (sc *scenario) run(t *testing.T, d *datadriven.TestData) string {
	var changes []jobs.Change
	switch d.Cmd {
	case "plan":
		changes = scheduler.Plan(sc.state.View().At(sc.now))
		if len(changes) == 0 {
			return "nothing\n"
		}
	case "evacuated":
		sc.state.SetEvacuatedZones(strings.Fields(d.Input))
		return "ok\n"
	case "show":
		return sc.show(d.Input)
	case "teams":
		teams := &jobs.SetTeams{}
		for _, r := range rowsOf(d.Input) {
			teams.Teams = append(teams.Teams, jobs.Team{Name: r.words[0], Share: max(r.num("share"), 1), Limit: r.num("limit")})
		}
		changes = append(changes, jobs.Change{SetTeams: teams})
	default:
		for _, r := range rowsOf(d.Input) {
			c, ok := sc.change(d.Cmd, r)
			if !ok {
				t.Fatalf("unknown directive %q", d.Cmd)
			}
			changes = append(changes, c)
		}
	}
	var out strings.Builder
	res := sc.state.Apply(jobs.Command{At: sc.now, Changes: changes, Rules: sc.rules})
	for n := range changes {
		sc.describe(&out, &changes[n], &res.Changes[n])
	}
	if out.Len() == 0 {
		return "ok\n"
	}
	return out.String()
}

func (sc *scenario) change(cmd string, r row) (jobs.Change, bool) {
	id := r.words[0]
	switch cmd {
	case "submit":
		team, _, _ := strings.Cut(id, ":")
		return jobs.Change{Submit: &jobs.Submit{ID: id, Team: team, Spec: jobs.Spec{
			Queue: r.opts["queue"], Pool: "p", Size: r.size(), RunTime: 1_000, Idempotent: r.has("idempotent"), Urgent: r.has("urgent"),
		}}}, true
	case "cancel":
		return jobs.Change{Cancel: &jobs.Cancel{ID: id}}, true
	case "heartbeat":
		sc.seq++
		h := &jobs.Heartbeat{
			Worker: id, Zone: cmp.Or(r.opts["zone"], "z"), Rack: "r-" + id, Pool: "p", Capacity: r.size(), Slots: 8,
			Incarnation: r.opts["incarnation"] + "i", Seq: sc.seq, Leaving: r.has("leaving"),
		}
		if r.opts["rack"] != "" {
			h.Rack = r.opts["rack"]
		}
		if r.opts["lease"] != "" {
			epoch := uint64(r.num("lease"))
			h.LeaseEpoch = &epoch
		}
		if r.opts["seq"] != "" {
			h.Seq = uint64(r.num("seq"))
		}
		for _, id := range strings.FieldsFunc(r.opts["tasks"], func(c rune) bool { return c == ',' }) {
			h.Tasks = append(h.Tasks, jobs.TaskReport{ID: id, Epoch: sc.state.View().Job(id).Epoch})
		}
		return jobs.Change{Heartbeat: h}, true
	case "outcome":
		o := &jobs.Outcome{ID: id, Kind: jobs.OutcomeKind(r.words[1]), Worker: r.opts["on"], Epoch: uint64(r.num("epoch")), Used: r.size(), Run: 1_000}
		return jobs.Change{Outcome: o}, true
	case "assign":
		return jobs.Change{Assign: &jobs.Assign{ID: id, Worker: r.opts["on"], IfEpoch: uint64(r.num("epoch"))}}, true
	case "lose":
		return jobs.Change{Lose: &jobs.WorkerAction{Worker: id}}, true
	}
	return jobs.Change{}, false
}

func (sc *scenario) describe(out *strings.Builder, c *jobs.Change, r *jobs.ChangeResult) {
	switch {
	case r.Refused != "":
		fmt.Fprintf(out, "refused %s: %s\n", r.Refused, r.Detail)
	case c.Lose != nil:
		fmt.Fprintf(out, "worker %s is lost\n", c.Lose.Worker)
	case c.Quarantine != nil:
		fmt.Fprintf(out, "worker %s is quarantined: %s\n", c.Quarantine.Worker, c.Quarantine.Reason)
	case r.Job != "":
		j := sc.state.View().Job(r.Job)
		on := ""
		if j.Worker != "" {
			on = " on " + j.Worker
		}
		fmt.Fprintf(out, "%s %s%s epoch %d\n", j.ID, j.State, on, j.Epoch)
	}
}

// show prints the histories of jobs.
func (sc *scenario) show(input string) string {
	var out strings.Builder
	for _, r := range rowsOf(input) {
		j := sc.state.View().Job(r.words[0])
		if j == nil {
			fmt.Fprintf(&out, "%s is gone\n", r.words[0])
			continue
		}
		for _, c := range j.Crashes {
			fmt.Fprintf(&out, "crash of %s %s at %d %s ran %d\n", c.Worker, c.Incarnation, c.At, c.Evidence, c.Ran)
		}
		for _, h := range j.History {
			fmt.Fprintln(&out, strings.Join(strings.Fields(fmt.Sprint(h.At, " ", h.Event, " ", h.State, " ", h.Worker, " ", h.Reason)), " "))
		}
	}
	return out.String()
}
