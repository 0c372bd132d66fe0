package control

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestState runs the command tables in testdata/state, each against a new state, and
// compares the formatted results.
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
			case "zones":
				out := ""
				for _, e := range s.View().Evacuations() {
					out += fmt.Sprintf("%s evacuated by %s with %s at version %d\n", e.Zone, e.Actor, e.OperationID, e.Version)
				}
				return out
			case "authorize":
				team, err := s.View().Authorize(testKey(intArg(t, d, "key")).Text)
				return fmt.Sprintf("%s %v\n", team, err)
			case "show":
				v := s.View()
				return fmt.Sprintf("daemons %v\narbiters %v\nledger term %d\n", v.Daemons(), v.Arbiters(), s.Ledger().Term("z1"))
			}
			return formatResult(applyAll(s, parseCommand(t, d)))
		})
	})
}

func parseCommand(t *testing.T, d *datadriven.TestData) *Command {
	switch d.Cmd {
	case "doc":
		return applyDocumentCommand(stringArg(t, d, "op"), uint64(intArg(t, d, "base")), testDocument(intArg(t, d, "teams"), intArg(t, d, "limit")))
	case "grant":
		return grantKeyCommand(stringArg(t, d, "op"), stringArg(t, d, "team"), testKey(intArg(t, d, "key")))
	case "withdraw":
		return withdrawKeyCommand(stringArg(t, d, "op"), testKey(intArg(t, d, "key")).ID)
	case "daemon":
		return &Command{RegisterDaemon: &RegisterDaemon{
			Name: stringArg(t, d, "name"), Incarnation: stringArg(t, d, "inc"), Zone: stringArg(t, d, "zone"), Address: "10.0.0.1:7000",
		}}
	case "evacuate", "restore-zone":
		op, zone, base := stringArg(t, d, "op"), stringArg(t, d, "zone"), uint64(intArg(t, d, "base"))
		if d.Cmd == "evacuate" {
			return &Command{EvacuateZone: &EvacuateZone{OperationID: op, Actor: "ops", Zone: zone, BaseVersion: base}}
		}
		return &Command{RestoreZone: &RestoreZone{OperationID: op, Zone: zone, BaseVersion: base}}
	case "deregister":
		return &Command{DeregisterDaemon: &DeregisterDaemon{Name: stringArg(t, d, "name")}}
	case "assign":
		return &Command{AssignArbiter: &AssignArbiter{
			Zone: stringArg(t, d, "zone"), Daemon: stringArg(t, d, "name"), Incarnation: stringArg(t, d, "inc"), Term: uint64(intArg(t, d, "term")),
		}}
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return nil
}

func formatResult(r Result) string {
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

func stringArg(t *testing.T, d *datadriven.TestData, name string) string {
	var s string
	d.MaybeScanArgs(t, name, &s)
	return s
}

func intArg(t *testing.T, d *datadriven.TestData, name string) int {
	var n int
	d.MaybeScanArgs(t, name, &n)
	return n
}
