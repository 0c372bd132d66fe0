package control

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// serialExecutor executes the requests of concurrent callers in one goroutine that
// owns the state, as the applier of a replicated log does.
type serialExecutor struct {
	calls chan request
	// staleReads makes reads return the view from three commands ago.
	staleReads bool
}

type request struct {
	cmd   *Command // nil for a read
	reply chan response
}

type response struct {
	result Result
	view   *View
}

func (q *serialExecutor) serve() {
	s := New(testCluster, Options{})
	views := []*View{s.View()}
	for c := range q.calls {
		a := response{}
		if c.cmd != nil {
			a.result = s.Apply(s.Index()+1, c.cmd)
			views = append(views, s.View())
		}
		a.view = s.View()
		if q.staleReads {
			a.view = views[max(0, len(views)-4)]
		}
		c.reply <- a
	}
}

func (q *serialExecutor) do(cmd *Command) response {
	reply := make(chan response)
	q.calls <- request{cmd: cmd, reply: reply}
	return <-reply
}

// Inputs and outputs of the sequential model.
type (
	input struct {
		kind string // "apply", "get", "grant", "withdraw", "authorize"
		base uint64
		op   string
		key  int
	}
	output struct {
		ok      bool
		version uint64 // of the document
	}
	// modelState holds the document version, the configuration version, and a bit
	// for each client that has a valid key.
	modelState struct {
		doc     uint64
		version uint64
		valid   uint64
	}
)

// sequentialModel is the sequential specification of the control state.
var sequentialModel = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(modelState), in.(input), out.(output)
		bit := uint64(1) << i.key
		switch i.kind {
		case "get":
			return o.version == s.doc, s
		case "authorize":
			return o.ok == (s.valid&bit != 0), s
		case "apply":
			if i.base != s.doc {
				return !o.ok && o.version == s.doc, s
			}
			s.version++
			s.doc = s.version
			return o.ok && o.version == s.doc, s
		case "grant":
			s.version++
			s.valid |= bit
			return o.ok, s
		}
		if s.valid&bit != 0 {
			s.version++
			s.valid &^= bit
		}
		return o.ok, s
	},
}

// runClient performs random calls and records them. Each client has its own team, to
// which its keys belong.
func runClient(q *serialExecutor, id, calls int, clock *atomic.Int64, record func(porcupine.Operation)) {
	rng := rand.New(rand.NewPCG(uint64(id), 4))
	team := fmt.Sprintf("team-%d", id)
	granted, base := false, uint64(1)
	for n := range calls {
		in := input{op: fmt.Sprintf("%d-%d", id, n), base: base, key: id}
		in.kind = []string{"apply", "get", "key", "authorize"}[rng.IntN(4)]
		if in.kind == "key" {
			in.kind = map[bool]string{false: "grant", true: "withdraw"}[granted]
			granted = !granted
		}
		start := clock.Add(1)
		out := perform(q, in, team, n)
		base = max(base, out.version)
		record(porcupine.Operation{ClientId: id, Input: in, Output: out, Call: start, Return: clock.Add(1)})
	}
}

// perform executes one call. The model has one bit for the key of a client, so each
// grant uses a new key, and authorize checks whether the client's team has a valid
// key.
func perform(q *serialExecutor, in input, team string, n int) output {
	key := testKey(in.key<<32 | n)
	switch in.kind {
	case "apply":
		r := q.do(applyDocumentCommand(in.op, in.base, testDocument(8, 5))).result
		return output{ok: r.Refusal == nil, version: r.DocumentVersion}
	case "get":
		return output{version: q.do(nil).view.DocumentVersion()}
	case "grant":
		return output{ok: q.do(grantKeyCommand(in.op, team, key)).result.Refusal == nil}
	case "authorize":
		return output{ok: len(q.do(nil).view.Keys(team)) > 0}
	}
	keys := q.do(nil).view.Keys(team)
	if len(keys) == 0 {
		return output{}
	}
	return output{ok: q.do(withdrawKeyCommand(in.op, keys[0].ID)).result.Refusal == nil}
}

// linearizable runs concurrent clients and reports whether their history is
// linearizable.
func linearizable(clients, calls int, stale bool) bool {
	q := &serialExecutor{calls: make(chan request), staleReads: stale}
	go q.serve()
	defer close(q.calls)
	var (
		clock   atomic.Int64
		mu      sync.Mutex
		history []porcupine.Operation
		wg      sync.WaitGroup
	)
	record := func(op porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, op)
	}
	first := input{kind: "apply", op: "first"}
	start := clock.Add(1)
	out := perform(q, first, "", 0)
	record(porcupine.Operation{ClientId: clients, Input: first, Output: out, Call: start, Return: clock.Add(1)})
	for id := range clients {
		wg.Go(func() { runClient(q, id, calls, &clock, record) })
	}
	wg.Wait()
	return porcupine.CheckOperationsTimeout(sequentialModel, history, time.Minute) == porcupine.Ok
}

func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	for range 20 {
		if !linearizable(6, 30, false) {
			t.Fatal("the history is not linearizable")
		}
	}
}

func TestLinearizabilityCheckerDetectsStaleReads(t *testing.T) {
	for range 20 {
		if !linearizable(2, 20, true) {
			return
		}
	}
	t.Fatal("stale reads were not detected")
}
