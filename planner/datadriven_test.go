package planner

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"magnoliastand.example/api"
	"magnoliastand.example/fleet"
)

// exampleState is the state shared by the directives of one file.
type exampleState struct {
	state    *fleet.State
	snap     Snapshot
	forecast *Forecast
}

// TestExamples runs the data-driven tests in testdata/examples.
func TestExamples(t *testing.T) {
	datadriven.Walk(t, "testdata/examples", func(t *testing.T, path string) {
		b := &exampleState{state: fleet.New(), forecast: NewForecast(TuningOf(Kyushu()).Hold)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return b.run(t, d)
		})
	})
}

func (b *exampleState) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		b.configure(t, d.Input)
		return ""
	case "advance":
		var seconds int
		d.ScanArgs(t, "seconds", &seconds)
		b.snap.Now += fleet.Millis(seconds) * 1000
		return ""
	case "demand":
		b.snap.Demand = nil
		for line := range strings.Lines(d.Input) {
			w, o := parseLine(line)
			b.snap.Demand = append(b.snap.Demand, Demand{
				Pool: w[0], Low: parseNumber(o["low"]), High: parseNumber(o["high"]), Lasting: len(w) == 1,
			})
		}
		return ""
	case "observe":
		return b.observe(t, d)
	case "fail":
		for _, id := range strings.Fields(d.Input) {
			c := fleet.Command{Report: &fleet.Report{Instance: id, Health: fleet.Broken}}
			c.Actor.Role = fleet.RolePlatform
			b.apply(t, c)
		}
		return ""
	case "evacuated":
		b.snap.EvacuatedZones = strings.Fields(d.Input)
		return ""
	case "start-wave":
		b.apply(t, fleet.Command{Actor: fleet.Actor{Role: fleet.RoleOperator}, StartWave: &fleet.WaveCommand{Wave: "kernel"}})
		return ""
	case "plan":
		return b.plan(d)
	case "platform":
		platformStep(t, b.state, b.snap.Now)
		return b.unavailableInstances()
	}
	t.Fatalf("unknown directive %q", d.Cmd)
	return ""
}

// plan makes a plan, applies it, and prints each command with its result. With
// the argument "twice", a second plan is made from the same snapshot and applied
// after the first.
func (b *exampleState) plan(d *datadriven.TestData) string {
	o := Kyushu()
	if d.HasArg("swanbourne") {
		o = Swanbourne()
	}
	b.snap.Fleet = b.state.View()
	b.snap.Suspects = nil
	if d.Input != "" {
		b.snap.Suspects = strings.Fields(d.Input)
	}
	plan := Plan(b.snap, o)
	if d.HasArg("twice") {
		plan = append(plan, Plan(b.snap, o)...)
	}
	var out strings.Builder
	for _, c := range plan {
		_, err := b.state.Apply(c)
		fmt.Fprintf(&out, "%s (%s)", describe(c), c.Reason)
		if err != nil {
			fmt.Fprintf(&out, ": refused %s", err)
		}
		out.WriteString("\n")
	}
	return out.String()
}

func describe(c fleet.Command) string {
	switch {
	case c.PermitDrain != nil:
		return strings.TrimSpace(fmt.Sprintf("drain %s for %s %s", c.PermitDrain.Instance, c.PermitDrain.Purpose, c.PermitDrain.Target))
	case c.ChangePool != nil:
		return fmt.Sprintf("change %s from %s to %s", c.ChangePool.Instance, c.ChangePool.From, c.ChangePool.To)
	case c.BeginReboot != nil:
		return "reboot " + c.BeginReboot.Instance
	case c.CancelPermit != nil:
		return "cancel " + c.CancelPermit.Instance
	case c.Quarantine != nil:
		return "quarantine " + c.Quarantine.Instance
	case c.StartWave != nil:
		return "start wave " + c.StartWave.Wave
	}
	return "report"
}

// observe reads lines "POOL seconds=N load=X", feeds the loads to the forecast in
// steps of 10 s, and prints the forecast.
func (b *exampleState) observe(_ *testing.T, d *datadriven.TestData) string {
	for line := range strings.Lines(d.Input) {
		w, o := parseLine(line)
		for range int(parseNumber(o["seconds"])) / 10 {
			b.snap.Now += 10_000
			b.forecast.Observe(b.snap.Now, []Load{{w[0], parseNumber(o["load"])}})
		}
	}
	b.snap.Demand = b.forecast.Demand()
	var out strings.Builder
	for _, p := range b.snap.Demand {
		fmt.Fprintf(&out, "%s level %.1f low %.1f high %.1f lasting %t\n", p.Pool, p.Level, p.Low, p.High, p.Lasting)
	}
	return out.String()
}

// unavailableInstances returns one line for each instance that is not active.
func (b *exampleState) unavailableInstances() string {
	var out strings.Builder
	for _, i := range b.state.View().Instances {
		if i.State != fleet.Active {
			fmt.Fprintf(&out, "%s %s in %s\n", i.ID, i.State, i.Pool)
		}
	}
	return out.String()
}

func (b *exampleState) apply(t *testing.T, c fleet.Command) {
	c.At = b.snap.Now
	if _, err := b.state.Apply(c); err != nil {
		t.Fatal(err)
	}
}

func parseLine(line string) ([]string, map[string]string) {
	var plain []string
	opts := map[string]string{}
	for _, w := range strings.Fields(line) {
		if k, v, ok := strings.Cut(w, "="); ok {
			opts[k] = v
			continue
		}
		plain = append(plain, w)
	}
	return plain, opts
}

func parseNumber(s string) float64 {
	v, _ := strconv.ParseFloat(s, 64)
	return v
}

// configure reads lines that start with "pool", "budget", "period" (in hours) or
// "instances", and applies them to the fleet state.
func (b *exampleState) configure(t *testing.T, input string) {
	var c fleet.Config
	var cmds []fleet.Command
	wave := api.Wave{
		Name: "kernel", Canary: 1, MaxBatch: 4, StopAfterFailures: 2,
		DrainTimeout: api.Duration(time.Minute), RebootTimeout: api.Duration(5 * time.Minute),
	}
	for line := range strings.Lines(input) {
		w, o := parseLine(line)
		switch w[0] {
		case "pool":
			c.Pools = append(c.Pools, api.Pool{Name: w[1], Spare: len(w) > 2, MinInstances: int(parseNumber(o["min"]))})
			wave.Pools = append(wave.Pools, w[1])
		case "budget":
			c.Budgets = append(c.Budgets, api.Budget{Scope: api.BudgetScope(w[1]), MaxUnavailable: int(parseNumber(o["max"]))})
		case "period":
			wave.Period = api.Duration(time.Duration(parseNumber(w[1])) * time.Hour)
		case "instances":
			for _, id := range w[1:] {
				cmds = append(cmds,
					fleet.Command{Register: &fleet.Register{Instance: id, Zone: o["zone"], Rack: o["rack"], Pool: o["pool"]}},
					fleet.Command{Join: &fleet.Join{Instance: id, Pool: o["pool"]}})
			}
		}
	}
	c.Waves = []api.Wave{wave}
	applyAll(t, b.state, append([]fleet.Command{{SetConfig: &fleet.SetConfig{Version: 1, Config: c}}}, cmds...))
}

// platformStep reports the completion of the current drain, reboot or join of
// each instance.
func platformStep(t interface{ Fatal(...any) }, s *fleet.State, now fleet.Millis) {
	for _, i := range s.View().Instances {
		c := fleet.Command{At: now, Actor: fleet.Actor{Role: fleet.RolePlatform}}
		switch i.State {
		case fleet.Permitted, fleet.Draining:
			c.ConfirmDrained = &fleet.InstanceCommand{Instance: i.ID}
		case fleet.Rebooting:
			c.ConfirmReboot = &fleet.ConfirmReboot{Instance: i.ID, Boot: fmt.Sprint(now, i.Boot)}
		case fleet.Joining:
			c.Join = &fleet.Join{Instance: i.ID, Pool: i.Pool}
		default:
			continue
		}
		if _, err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
}
