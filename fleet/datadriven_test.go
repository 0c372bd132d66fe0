package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// TestExamples runs the scripts in testdata/examples. Each input line of the
// "apply" directive is one command: role verb instance-or-wave key=value...
func TestExamples(t *testing.T) {
	datadriven.Walk(t, "testdata/examples", func(t *testing.T, path string) {
		s := New()
		var now Millis
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "config":
				_, err := s.Apply(configCommand(s.Version()+1, d.Input))
				return formatResult(Result{}, err)
			case "advance":
				var seconds int
				d.ScanArgs(t, "seconds", &seconds)
				now += Millis(seconds) * 1000
				return fmt.Sprintf("now %d s\n", now/1000)
			case "apply":
				return applyLines(t, s, now, d.Input)
			case "show":
				return formatInstance(s, d.CmdArgs[0].Key)
			case "waves":
				return formatWaves(s)
			}
			t.Fatalf("unknown directive %q", d.Cmd)
			return ""
		})
		if !s.CheckAll() {
			t.Fatal("invariant violated at the end of the script")
		}
	})
}

func applyLines(t *testing.T, s *State, now Millis, input string) string {
	var out strings.Builder
	for line := range strings.Lines(input) {
		c := parseCommand(t, now, strings.Fields(line))
		b, err := EncodeCommand(c)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := s.ApplyBytes(b)
		if err != nil {
			t.Fatal(err)
		}
		r, err := DecodeResult(reply)
		if err != nil {
			t.Fatal(err)
		}
		if r.Refused != "" {
			err = &Refusal{Code: r.Refused, Detail: r.Detail}
		}
		out.WriteString(formatResult(r, err))
	}
	return out.String()
}

func formatResult(r Result, err error) string {
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		return "refused " + refusal.Error() + "\n"
	case r.Instance != "":
		return fmt.Sprintf("%s is %s in %s\n", r.Instance, r.State, r.Pool)
	case r.Wave != "":
		return "wave is " + string(r.Wave) + "\n"
	}
	return "ok\n"
}

func formatInstance(s *State, id string) string {
	i, ok := s.Instance(id)
	if !ok {
		return "not known\n"
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s is %s in %s since %d s: %s\n", i.ID, i.State, i.Pool, i.Since/1000, i.LastChange())
	for _, e := range i.History {
		fmt.Fprintf(&out, "%4d s %s %s by %s: %s\n", e.At/1000, e.Event, e.Pool, e.Actor.Role, e.Reason)
	}
	return out.String()
}

func formatWaves(s *State) string {
	var out strings.Builder
	v := s.View()
	for _, w := range v.Config.Waves {
		if r := v.Waves[w.Name]; r != nil {
			fmt.Fprintf(&out, "%s round %d %s done %d failures %d: %s\n",
				r.Name, r.Round, r.State, r.Done, len(r.Failures), r.Reason)
		}
	}
	return out.String()
}

// parseOptions separates positional arguments from key=value options.
func parseOptions(words []string) ([]string, map[string]string) {
	var plain []string
	opts := map[string]string{}
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			opts[k] = v
			continue
		}
		plain = append(plain, w)
	}
	return plain, opts
}

func configCommand(version uint64, input string) Command {
	var c Config
	for line := range strings.Lines(input) {
		words, o := parseOptions(strings.Fields(line))
		n := func(key string) int { v, _ := strconv.Atoi(o[key]); return v }
		switch words[0] {
		case "pool":
			c.Pools = append(c.Pools, api.Pool{
				Name: words[1], Spare: len(words) > 2, MinInstances: n("min"), MaxInstances: n("max"),
			})
		case "budget":
			c.Budgets = append(c.Budgets, api.Budget{
				Scope: api.BudgetScope(words[1]), Name: o["name"], MaxUnavailable: n("max"),
			})
		case "wave":
			c.Waves = append(c.Waves, api.Wave{
				Name: words[1], Pools: strings.Split(o["pools"], ","), Canary: n("canary"),
				MaxBatch: n("batch"), StopAfterFailures: n("stop"),
			})
		}
	}
	return Command{
		Actor:     Actor{Role: RoleOperator},
		SetConfig: &SetConfig{Version: version, Config: c},
	}
}

func parseCommand(t *testing.T, now Millis, words []string) Command {
	w, o := parseOptions(words)
	c := Command{At: now, Actor: Actor{Role: Role(w[0])}, Reason: strings.ReplaceAll(o["reason"], "-", " ")}
	id := w[2]
	body := &InstanceCommand{Instance: id}
	switch w[1] {
	case "register":
		c.Register = &Register{Instance: id, Zone: o["zone"], Rack: o["rack"], Pool: o["pool"], Boot: "boot-1"}
	case "report":
		c.Report = &Report{Instance: id, Health: Health(w[3]), Boot: o["boot"]}
	case "permit":
		c.PermitDrain = &PermitDrain{Instance: id, Purpose: Purpose(w[3]), Target: o["target"], Wave: o["wave"]}
	case "begin-drain":
		c.BeginDrain = body
	case "drained":
		c.ConfirmDrained = body
	case "change-pool":
		c.ChangePool = &ChangePool{Instance: id, From: o["from"], To: o["to"]}
	case "begin-reboot":
		c.BeginReboot = body
	case "rebooted":
		c.ConfirmReboot = &ConfirmReboot{Instance: id, Boot: o["boot"]}
	case "join":
		c.Join = &Join{Instance: id, Pool: o["pool"]}
	case "cancel":
		c.CancelPermit = body
	case "quarantine":
		c.Quarantine = body
	case "release":
		c.Release = body
	case "deregister":
		c.Deregister = body
	case "pin":
		c.Pin = &Pin{Instance: id, Pinned: true}
	case "start-wave":
		c.StartWave = &WaveCommand{Wave: id}
	case "pause-wave":
		c.PauseWave = &WaveCommand{Wave: id}
	case "resume-wave":
		c.ResumeWave = &WaveCommand{Wave: id}
	case "abort-wave":
		c.AbortWave = &WaveCommand{Wave: id}
	default:
		t.Fatalf("unknown verb %q", w[1])
	}
	return c
}
