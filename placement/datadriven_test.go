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

// row is one line of a table: plain words and key=value options.
type row struct {
	words []string
	opts  map[string]string
}

func rows(input string) []row {
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
	v, _ := strconv.Atoi(r.opts[key])
	return v
}

func (r row) frac(key string) float64 {
	v, _ := strconv.ParseFloat(r.opts[key], 64)
	return v
}

// size reads slots, cores, mb and acc; slots default to 1.
func (r row) size() Size {
	return Size{max(r.num("slots"), 1), 1000 * r.num("cores"), r.num("mb"), r.num("acc")}
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

func (r row) use() TeamUse {
	return TeamUse{Team: r.words[0], Share: r.frac("share"), Use: r.frac("use"), Demand: r.frac("demand"), Debt: r.frac("debt")}
}

// bench is the state that the directives of one file share.
type bench struct {
	in       Input
	outcomes *Outcomes
	running  []Running
}

// TestExamples runs the tables of testdata/examples.
func TestExamples(t *testing.T) {
	datadriven.Walk(t, "testdata/examples", func(t *testing.T, path string) {
		b := &bench{outcomes: NewOutcomes()}
		b.in.Estimator = NewEstimator()
		b.in.Order = LowestUse{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return b.run(t, d)
		})
	})
}

func (b *bench) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	switch d.Cmd {
	case "workers":
		b.in.Workers = nil
		for _, r := range rows(d.Input) {
			b.in.Workers = append(b.in.Workers, Worker{
				ID: r.words[0], Zone: r.opts["zone"], Rack: r.opts["rack"],
				Capacity: r.size(), Used: Size{Processors: 1000 * r.num("used")}, Open: !slices.Contains(r.words, "closed"),
			})
		}
	case "classes":
		r := rows(d.Input)[0]
		b.in.Classes = Classes{QuickReserve: r.frac("quick"), LongReserve: r.frac("long")}
	case "teams":
		b.in.Teams = nil
		for _, r := range rows(d.Input) {
			q := TeamQueue{TeamUse: r.use(), Limit: -1}
			if _, ok := r.opts["limit"]; ok {
				q.Limit = r.num("limit")
			}
			b.in.Teams = append(b.in.Teams, q)
		}
	case "place":
		b.place(&out, d.Input)
	case "usage":
		for _, r := range rows(d.Input) {
			task := r.task()
			b.in.Estimator.Observe(&task, Size{1, 1000 * r.num("used"), r.num("usedmb"), 0}, Millis(r.num("run")))
			s := b.in.Estimator.Size(&task)
			fmt.Fprintf(&out, "%d thousandths of a core, %d MB, %d ms\n", s.Processors, s.MemoryMB, b.in.Estimator.Run(&task))
		}
	case "outcomes":
		b.judge(&out, d.Input)
	case "entitle":
		teams := uses(d.Input)
		for n, e := range Entitlements(1, teams) {
			fmt.Fprintf(&out, "%s %.2f\n", teams[n].Team, e)
		}
	case "running":
		b.running = nil
		for _, r := range rows(d.Input) {
			b.running = append(b.running, Running{
				Task: r.task(), Worker: r.opts["on"], Size: r.size(), Started: Millis(r.num("started")),
				Stage: Stage(r.num("stage")), StageSince: Millis(r.num("since")),
			})
		}
	case "preempt":
		var now int
		d.ScanArgs(t, "now", &now)
		for _, p := range Preempt(uses(d.Input), b.running, Size{Slots: 10}, Millis(now)) {
			fmt.Fprintf(&out, "%s on %s to stage %d\n", p.TaskID, p.Worker, p.Stage)
		}
	default:
		t.Fatalf("unknown directive %q", d.Cmd)
	}
	return out.String()
}

func uses(input string) []TeamUse {
	var out []TeamUse
	for _, r := range rows(input) {
		out = append(out, r.use())
	}
	return out
}

func (b *bench) place(out *strings.Builder, input string) {
	in := b.in
	in.Teams = slices.Clone(b.in.Teams)
	for _, r := range rows(input) {
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

func (b *bench) judge(out *strings.Builder, input string) {
	for _, r := range rows(input) {
		task := r.task()
		switch r.words[1] {
		case "ok":
			b.outcomes.Succeeded(&task, r.opts["on"])
		case "failed":
			b.outcomes.Failed(&task, r.opts["on"])
		case "parked":
			fmt.Fprintf(out, "%s: %q\n", task.ID, b.outcomes.Park(&task))
		}
	}
	fmt.Fprintf(out, "suspects %v\n", b.outcomes.Suspects())
}
