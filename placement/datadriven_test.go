package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"magnoliastand.example/api"
)

// row is one line of a directive's input: plain words and key=value options.
type row struct {
	words []string
	opts  map[string]string
}

func parseRows(input string) []row {
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

func (r row) integer(key string) int {
	v, _ := strconv.Atoi(r.opts[key])
	return v
}

func (r row) decimal(key string) float64 {
	v, _ := strconv.ParseFloat(r.opts[key], 64)
	return v
}

// size reads the options slots, cores, mb and acc. Slots defaults to 1.
func (r row) size() Size {
	return Size{max(r.integer("slots"), 1), 1000 * r.integer("cores"), r.integer("mb"), r.integer("acc")}
}

func (r row) task() Task {
	t := Task{
		ID: r.words[0], Team: r.opts["team"], Queue: r.opts["queue"], Class: api.ClassQuick,
		Declared: r.size(), DeclaredRun: 1000, Idempotent: slices.Contains(r.words, "idempotent"),
	}
	if slices.Contains(r.words, "long") {
		t.Class = api.ClassLong
	}
	if r.opts["failed"] != "" {
		t.FailedOn = strings.Split(r.opts["failed"], ",")
	}
	return t
}

func (r row) teamUse() TeamUse {
	return TeamUse{Team: r.words[0], Share: r.decimal("share"), Use: r.decimal("use"), Demand: r.decimal("demand"), Debt: r.decimal("debt")}
}

// exampleState is the state shared by the directives of one file.
type exampleState struct {
	in       Input
	outcomes *Outcomes
	running  []Running
}

// TestExamples runs the data-driven tests in testdata/examples.
func TestExamples(t *testing.T) {
	datadriven.Walk(t, "testdata/examples", func(t *testing.T, path string) {
		b := &exampleState{outcomes: NewOutcomes()}
		b.in.Estimator = NewEstimator()
		b.in.Order = LowestUse{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return b.run(t, d)
		})
	})
}

func (b *exampleState) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	switch d.Cmd {
	case "workers":
		b.in.Workers = nil
		for _, r := range parseRows(d.Input) {
			b.in.Workers = append(b.in.Workers, Worker{
				ID: r.words[0], Zone: r.opts["zone"], Rack: r.opts["rack"],
				Capacity: r.size(), Used: Size{Processors: 1000 * r.integer("used")}, Open: !slices.Contains(r.words, "closed"),
			})
		}
	case "classes":
		r := parseRows(d.Input)[0]
		b.in.Classes = Classes{QuickReserve: r.decimal("quick"), LongReserve: r.decimal("long")}
	case "teams":
		b.in.Teams = nil
		for _, r := range parseRows(d.Input) {
			q := TeamQueue{TeamUse: r.teamUse(), Limit: -1}
			if _, ok := r.opts["limit"]; ok {
				q.Limit = r.integer("limit")
			}
			b.in.Teams = append(b.in.Teams, q)
		}
	case "place":
		b.place(&out, d.Input)
	case "usage":
		for _, r := range parseRows(d.Input) {
			task := r.task()
			b.in.Estimator.Observe(&task, Size{1, 1000 * r.integer("used"), r.integer("usedmb"), 0}, Millis(r.integer("run")))
			s := b.in.Estimator.Size(&task)
			fmt.Fprintf(&out, "%d thousandths of a core, %d MB, %d ms\n", s.Processors, s.MemoryMB, b.in.Estimator.Run(&task))
		}
	case "outcomes":
		b.recordOutcomes(&out, d.Input)
	case "entitle":
		teams := parseTeamUses(d.Input)
		for n, e := range Entitlements(1, teams) {
			fmt.Fprintf(&out, "%s %.2f\n", teams[n].Team, e)
		}
	case "running":
		b.running = nil
		for _, r := range parseRows(d.Input) {
			b.running = append(b.running, Running{
				Task: r.task(), Worker: r.opts["on"], Size: r.size(), Started: Millis(r.integer("started")),
				Stage: Stage(r.integer("stage")), StageSince: Millis(r.integer("since")),
			})
		}
	case "preempt":
		var now int
		d.ScanArgs(t, "now", &now)
		for _, p := range Preempt(parseTeamUses(d.Input), b.running, Size{Slots: 10}, Millis(now)) {
			fmt.Fprintf(&out, "%s on %s to stage %d\n", p.TaskID, p.Worker, p.Stage)
		}
	default:
		t.Fatalf("unknown directive %q", d.Cmd)
	}
	return out.String()
}

func parseTeamUses(input string) []TeamUse {
	var out []TeamUse
	for _, r := range parseRows(input) {
		out = append(out, r.teamUse())
	}
	return out
}

func (b *exampleState) place(out *strings.Builder, input string) {
	in := b.in
	in.Teams = slices.Clone(b.in.Teams)
	for _, r := range parseRows(input) {
		task := r.task()
		if FitsNowhere(&task, in.Workers) {
			fmt.Fprintf(out, "%s refused: fits nowhere\n", task.ID)
			continue
		}
		for n := range in.Teams {
			switch {
			case in.Teams[n].Team != task.Team:
			case task.Class == api.ClassLong:
				in.Teams[n].Long = append(in.Teams[n].Long, task)
			default:
				in.Teams[n].Quick = append(in.Teams[n].Quick, task)
			}
		}
	}
	for _, s := range Place(in) {
		fmt.Fprintf(out, "%s on %s\n", s.Task.ID, s.Worker)
	}
}

func (b *exampleState) recordOutcomes(out *strings.Builder, input string) {
	for _, r := range parseRows(input) {
		task := r.task()
		switch r.words[1] {
		case "ok":
			b.outcomes.Succeeded(&task, r.opts["on"])
		case "failed":
			b.outcomes.Failed(&task, r.opts["on"])
		case "parked":
			fmt.Fprintf(out, "%s: %q\n", task.ID, b.outcomes.ParkReason(&task))
		}
	}
	fmt.Fprintf(out, "suspects %v\n", b.outcomes.Suspects())
}
