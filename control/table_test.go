package control

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestState runs tables of commands against one state and prints each result.
func TestState(t *testing.T) {
	datadriven.Walk(t, "testdata/state", func(t *testing.T, path string) {
		s := New(testCluster, Options{})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "restore":
				snap, err := s.Snapshot()
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				s = New(testCluster, Options{})
				if err := s.Restore(snap); err != nil {
					d.Fatalf(t, "%v", err)
				}
				return fmt.Sprintf("version %d\n", s.Version())
			case "authorize":
				team, err := s.View().Authorize(testKey(number(t, d, "key")).Text)
				return fmt.Sprintf("%s %v\n", team, err)
			case "show":
				v := s.View()
				return fmt.Sprintf("daemons %v\narbiters %v\nledger term %d\n", v.Daemons(), v.Arbiters(), s.Ledger().Term("z1"))
			}
			return resultText(run(s, tableCommand(t, d)))
		})
	})
}

func tableCommand(t *testing.T, d *datadriven.TestData) *Command {
	switch d.Cmd {
	case "doc":
		return applyDoc(text(t, d, "op"), uint64(number(t, d, "base")), testDocument(number(t, d, "teams"), number(t, d, "limit")))
	case "grant":
		return grantKey(text(t, d, "op"), text(t, d, "team"), testKey(number(t, d, "key")))
	case "withdraw":
		return withdrawKey(text(t, d, "op"), testKey(number(t, d, "key")).ID)
	case "daemon":
		return &Command{RegisterDaemon: &RegisterDaemon{
			Name: text(t, d, "name"), Incarnation: text(t, d, "inc"), Zone: text(t, d, "zone"), Address: "10.0.0.1:7000",
		}}
	case "forget":
		return &Command{DeregisterDaemon: &DeregisterDaemon{Name: text(t, d, "name")}}
	case "assign":
		return &Command{AssignArbiter: &AssignArbiter{
			Zone: text(t, d, "zone"), Daemon: text(t, d, "name"), Incarnation: text(t, d, "inc"), Term: uint64(number(t, d, "term")),
		}}
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return nil
}

func resultText(r Result) string {
	repeated := map[bool]string{true: " repeated"}[r.Repeated]
	out := fmt.Sprintf("index %d version %d document %d key %q%s\n", r.Index, r.Version, r.DocumentVersion, r.KeyID, repeated)
	if r.Refusal != nil {
		out += fmt.Sprintf("%v (current %d)\n", r.Refusal, r.Refusal.CurrentVersion)
		for _, f := range r.Refusal.Faults {
			out += f.String() + "\n"
		}
	}
	return out
}

func text(t *testing.T, d *datadriven.TestData, name string) string {
	var s string
	d.MaybeScanArgs(t, name, &s)
	return s
}

func number(t *testing.T, d *datadriven.TestData, name string) int {
	var n int
	d.MaybeScanArgs(t, name, &n)
	return n
}
