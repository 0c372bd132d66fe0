package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// job returns a job of steps of some subtasks each, one after the other.
func job(spec string, cpu, estimate int, requires string, counts ...int) map[string]any {
	steps := []map[string]any{}
	for i, n := range counts {
		step := map[string]any{"count": n, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		if requires != "" {
			step["requires"] = requires
		}
		steps = append(steps, step)
	}
	return map[string]any{"spec": spec, "steps": steps}
}

// prepare starts the system with machines of one service, each in a rack of its own, and
// waits until a first job is done.
func (w *world) prepare(count int, adviceValid time.Duration, tenants ...tenant) ([]*machine, error) {
	if err := w.beginAll(); err != nil {
		return nil, err
	}
	if err := w.putConfig(1, adviceValid, tenants...); err != nil {
		return nil, err
	}
	var list []*machine
	for n := range count {
		m, err := w.machines.add(fmt.Sprintf("m-%d", n+1), "svc", zones[n%len(zones)], 16000, 32768, "a", fmt.Sprintf("r%d-1", n+1))
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	if !w.pause(2 * heartbeat) {
		return nil, errCannotRun
	}
	if err := w.submit("00000000000000aa", job("work 100", 500, 100, "", 2)); err != nil {
		return nil, err
	}
	if !w.await(10*time.Second, func() bool { return w.state("00000000000000aa") == "completed" }) {
		return nil, fmt.Errorf("%w: the first job was not done", errCannotRun)
	}
	return list, nil
}

// waveEntry: while a wave is under way, the entry of one of its machines in the list comes from
// another writer for some seconds. Rule MIXED: a wave is said to be completed, and a machine of
// it that stays hasn't begun its upkeep.
func waveEntry(w *world) (verdict, error) {
	list, err := w.prepare(7, 0)
	if err != nil {
		return verdict{}, err
	}
	odd := list[1]
	if w.trouble {
		w.machines.setForeign(odd, fmt.Sprintf(`{"machine":%q,"pool":"svc","state":"up","zone":%q,"labels":["a","r2-1"],"capacity":"16 cores","id":%q}`, odd.name, odd.zone, odd.exec.id))
	}
	if err := w.startWave(1, 20, 1, list[0], list[1], list[2]); err != nil {
		return verdict{}, err
	}
	readable := time.Now().Add(5500 * time.Millisecond)
	completed := w.await(40*time.Second, func() bool {
		if w.trouble && time.Now().After(readable) {
			w.machines.setForeign(odd, "")
			readable = time.Now().Add(time.Hour)
		}
		return w.waveCompleted(1)
	})
	w.rec.add("wave-get/1: completed is %t", completed)
	if !completed {
		return verdict{}, nil // it is late at most
	}
	if _, begun := w.machines.upkeepOf(odd, 1); begun {
		return verdict{}, nil
	}
	// The machine stays: its executor is at work, and the upkeep doesn't begin later either.
	w.machines.setForeign(odd, "")
	if err := w.submit("00000000000000bb", job("work 100", 500, 100, "r2-1", 1)); err != nil {
		return verdict{}, err
	}
	stays := w.await(10*time.Second, func() bool { return w.state("00000000000000bb") == "completed" })
	w.pause(5 * time.Second)
	if _, begun := w.machines.upkeepOf(odd, 1); begun || !stays {
		return verdict{}, nil
	}
	return verdict{"MIXED: wave 1 is said to be completed, and " + odd.name + ", which stays, hasn't begun its upkeep"}, nil
}

// endedEntry: one entry in the list of ends of an executor comes from another writer. Rule LOST:
// a job has nothing running for 3 s while a subtask's turn has come and there is room for it.
func endedEntry(w *world) (verdict, error) {
	list, err := w.prepare(2, 0)
	if err != nil {
		return verdict{}, err
	}
	if w.trouble {
		list[0].exec.addForeignEnd()
	}
	ids := []string{}
	for n := 0; n < 120; n++ {
		id := fmt.Sprintf("%016x", 0x1000+n)
		if err := w.submit(id, job("work 30", 500, 30, "", 6, 6)); err != nil {
			return verdict{}, err
		}
		ids = append(ids, id)
		w.pause(150 * time.Millisecond)
	}
	w.rec.add("clients: the traffic ends; %d jobs were accepted", len(ids))
	w.pause(finish)
	open := map[string]bool{}
	for _, id := range ids {
		if s := w.state(id); s != "completed" {
			open[id] = true
			w.rec.add("client: GET job %s -> %s", id, s)
		}
	}
	if len(open) == 0 {
		return verdict{}, nil
	}
	return w.idle(open, 12)
}

// idle watches open jobs for 4 s. It finds one that has nothing running all the while though
// a subtask's turn has come: not all of its subtasks have ended done. total is their number.
func (w *world) idle(open map[string]bool, total int) (verdict, error) {
	from := time.Now()
	for time.Since(from) < 4*time.Second {
		for id := range open {
			for _, r := range w.runsOf(id) {
				if r.ended.IsZero() || r.ended.After(from) {
					delete(open, id)
				}
			}
		}
		w.pause(100 * time.Millisecond)
	}
	idle, text := 0, ""
	for id := range open {
		s := w.state(id)
		done := map[string]bool{}
		for _, r := range w.runsOf(id) {
			if r.how == "done" {
				done[r.task] = true
			}
		}
		w.rec.add("job %s: %q, %d of %d subtasks have ended done, nothing runs", id, s, len(done), total)
		if (s == "pending" || s == "running") && len(done) < total {
			idle++
			text = fmt.Sprintf("LOST: job %s is %s and has had nothing running for 4 s; %d of its %d subtasks have ended done", id, s, len(done), total)
		}
	}
	if idle == 0 {
		return verdict{}, nil
	}
	return verdict{fmt.Sprintf("%s; %d such jobs", text, idle)}, nil
}

// twoWaves: a second wave over other machines, due earlier, comes while a machine is being
// emptied for the first. Rule LOST: a subtask that lasts has nothing running though the executor
// that it needs is up and empty.
func twoWaves(w *world) (verdict, error) {
	list, err := w.prepare(21, 0)
	if err != nil {
		return verdict{}, err
	}
	m := list[0]
	const id = "00000000000000c0"
	lasting := map[string]any{"spec": "last", "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 1000, "long_running": true, "requires": m.labels[1]}}}
	if err := w.submit(id, lasting); err != nil {
		return verdict{}, err
	}
	w.pause(2 * time.Second)
	if err := w.submit("00000000000000c1", job("work 3000", 500, 3000, m.labels[1], 1)); err != nil {
		return verdict{}, err
	}
	traffic := time.Now() // its end
	w.pause(300 * time.Millisecond)
	if err := w.startWave(1, 26, 1, m); err != nil {
		return verdict{}, err
	}
	w.pause(time.Second)
	if w.trouble {
		if err := w.startWave(2, 24, 1, list[1:10]...); err != nil {
			return verdict{}, err
		}
	}
	// finish_s after the end of the traffic and 6 s after its last run, the subtask has nothing
	// running for 3 s, and the executor that it needs is up all the while.
	w.pause(time.Until(traffic.Add(finish)))
	var from time.Time
	for end := traffic.Add(50 * time.Second); time.Now().Before(end); w.pause(100 * time.Millisecond) {
		var last time.Time
		running := false
		for _, r := range w.runsOf(id) {
			running = running || r.ended.IsZero()
			if r.ended.After(last) {
				last = r.ended
			}
		}
		w.machines.mu.Lock()
		up := m.exec != nil
		w.machines.mu.Unlock()
		switch {
		case running || !up || time.Since(last) < 6*time.Second:
			from = time.Time{}
		case from.IsZero():
			from = time.Now()
		case time.Since(from) > 3*time.Second:
			w.rec.add("wave-get/1: completed is %t; wave-get/2: %t", w.waveCompleted(1), w.waveCompleted(2))
			return verdict{fmt.Sprintf("LOST: the lasting subtask of job %s, accepted and not cancelled, has had nothing running for %.1f s, the last 3 s of them over finish_s after the traffic, while the executor that it needs is up and empty", id, time.Since(last).Seconds())}, nil
		}
	}
	return verdict{}, nil
}

// overlap: a second wave, due earlier, covers a machine that is being emptied for the first.
// Rule LOST: a job has nothing running for 3 s while a subtask's turn has come and there is room.
func overlap(w *world) (verdict, error) {
	list, err := w.prepare(5, 0)
	if err != nil {
		return verdict{}, err
	}
	// A subtask of 3 s on the machine that is emptied first.
	for n, m := range list[:2] {
		if err := w.submit(fmt.Sprintf("00000000000000c%d", n), job("work 3000", 500, 3000, m.labels[1], 1)); err != nil {
			return verdict{}, err
		}
	}
	w.pause(500 * time.Millisecond)
	if err := w.startWave(1, 30, 1, list[0], list[1]); err != nil {
		return verdict{}, err
	}
	w.pause(time.Second)
	if w.trouble {
		if err := w.startWave(2, 15, 1, list[0], list[1]); err != nil {
			return verdict{}, err
		}
	}
	w.pause(45 * time.Second)
	w.rec.add("wave-get/1: completed is %t; wave-get/2: %t", w.waveCompleted(1), w.waveCompleted(2))
	open := map[string]bool{}
	for n, m := range list[:2] {
		id := fmt.Sprintf("00000000000000d%d", n)
		if err := w.submit(id, job("work 300", 500, 300, m.labels[1], 1)); err != nil {
			return verdict{}, err
		}
		open[id] = true
	}
	w.pause(finish)
	for id := range open {
		s := w.state(id)
		w.rec.add("client: GET job %s -> %s", id, s)
		if s == "completed" {
			delete(open, id)
		}
	}
	if len(open) == 0 {
		return verdict{}, nil
	}
	return w.idle(open, 1)
}

// quota: the configuration lowers what a tenant may have running. Rule LOST: a job has nothing
// running though its tenant has under half of max_count; QUOTA would let its subtask start.
func quota(w *world) (verdict, error) {
	w.key = "k1k1k1k1k1k1k1k1k1k1"
	if _, err := w.prepare(2, 0, tenant{"t1", w.key, 2000}); err != nil {
		return verdict{}, err
	}
	lasting := map[string]any{"spec": "last", "steps": []any{map[string]any{"count": 1, "cpu": 450, "mem_mb": 64, "estimate_ms": 1000, "long_running": true}}}
	if err := w.submit("00000000000000e0", lasting); err != nil {
		return verdict{}, err
	}
	w.pause(2 * time.Second)
	if w.trouble {
		if err := w.putConfig(2, 0, tenant{"t1", w.key, 1000}); err != nil {
			return verdict{}, err
		}
	}
	w.pause(2 * time.Second)
	if err := w.submit("00000000000000e1", job("work 300", 600, 300, "", 1)); err != nil {
		return verdict{}, err
	}
	w.pause(finish)
	if s := w.state("00000000000000e1"); s == "completed" {
		return verdict{}, nil
	}
	return w.idle(map[string]bool{"00000000000000e1": true}, 1)
}

// adviceLife: a wave takes down the machines of a service one after the other. Rule LOST: a
// subtask that lasts has nothing running though its executors are back and empty.
func adviceLife(w *world) (verdict, error) {
	if err := w.serveAdvice(); err != nil {
		return verdict{}, err
	}
	list, err := w.prepare(2, ticketTime)
	if err != nil {
		return verdict{}, err
	}
	for n := range 3 { // of another service
		if _, err := w.machines.add(fmt.Sprintf("m-%d", n+3), "svc2", zones[n], 16000, 32768, "a", fmt.Sprintf("r%d-2", n+1)); err != nil {
			return verdict{}, err
		}
	}
	const id = "00000000000000a0"
	lasting := map[string]any{"spec": "last", "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 1000, "long_running": true}}}
	if err := w.submit(id, lasting); err != nil {
		return verdict{}, err
	}
	w.pause(3 * time.Second)
	if w.trouble {
		if err := w.startWave(1, 20, 1, list...); err != nil {
			return verdict{}, err
		}
	}
	// Look for a time in which the subtask has nothing running from 6 s after its last run on.
	var last time.Time
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); w.pause(100 * time.Millisecond) {
		runs, rs := 0, w.runsOf(id)
		for _, r := range rs {
			if r.ended.IsZero() {
				runs++
			} else if r.ended.After(last) {
				last = r.ended
			}
		}
		ready := 0
		w.machines.mu.Lock()
		for _, m := range list {
			if m.state == "up" && m.exec != nil && time.Since(m.exec.start) > 9*time.Second {
				ready++
			}
		}
		w.machines.mu.Unlock()
		if len(rs) > 0 && runs == 0 && time.Since(last) > 9*time.Second && ready == len(list) {
			return verdict{fmt.Sprintf("LOST: the lasting subtask of job %s, accepted and not cancelled, has had nothing running for %.1f s, %d executors are up and empty for over 9 s", id, time.Since(last).Seconds(), ready)}, nil
		}
	}
	return verdict{}, nil
}

// firstStart: one of the seeds loses its disk right after the whole system has started for the
// first time, and restarts as the pages say. Fault: no request is served.
func firstStart(w *world) (verdict, error) {
	if err := w.beginAll(); err != nil {
		return verdict{}, err
	}
	w.pause(300 * time.Millisecond)
	if w.trouble {
		lost := w.cores[1]
		lost.signal(syscall.SIGKILL)
		<-lost.exited
		if err := os.RemoveAll(filepath.Join(w.dir, lost.name)); err != nil {
			return verdict{}, err
		}
		w.rec.add("%s is killed and has lost its disk; it restarts in 1 s", lost.name)
		w.pause(time.Second)
		if err := w.begin(lost); err != nil {
			return verdict{}, err
		}
	}
	w.pause(10 * time.Second)
	began := time.Now()
	answered := w.await(45*time.Second, func() bool {
		for n, d := range w.cores {
			status, body := call("POST", "http://"+w.control(n)+"/config/put", "", "", []byte(`{"version":1,"routes":[],"services":[]}`), time.Second)
			w.rec.add("operator: POST /config/put at %s -> %d %.60s", d.name, status, body)
			if status == 200 {
				return true
			}
		}
		status, body := call("GET", w.front(0)+"/svc/00000000000000aa", "svc.example", "", nil, clientWait)
		w.rec.add("client: GET -> %d %.60s", status, body)
		w.pause(time.Second)
		return false
	})
	if answered {
		return verdict{}, nil
	}
	running := 0
	for _, d := range w.daemons() {
		select {
		case <-d.exited:
		default:
			running++
		}
	}
	return verdict{fmt.Sprintf("Fault: no configuration is acknowledged and no request served for %.0f s, though all %d processes run", time.Since(began).Seconds(), running)}, nil
}

// hopeless: the executor that a lasting job needs is lost for good. Rule LOST: later jobs of its
// tenant have nothing running though there is room for them, and the tenant runs nothing at all.
func hopeless(w *world) (verdict, error) {
	w.key = "k1k1k1k1k1k1k1k1k1k1"
	list, err := w.prepare(8, 0, tenant{"t1", w.key, 10000})
	if err != nil {
		return verdict{}, err
	}
	const lastingID = "00000000000000e0"
	m := list[7]
	lasting := map[string]any{"spec": "last", "steps": []any{map[string]any{"count": 5, "cpu": 2000, "mem_mb": 64, "estimate_ms": 1000, "long_running": true, "requires": m.labels[1]}}}
	if err := w.submit(lastingID, lasting); err != nil {
		return verdict{}, err
	}
	w.pause(3 * time.Second)
	if w.trouble {
		w.machines.lose(m)
	}
	w.pause(10 * time.Second)
	open := map[string]bool{}
	for n := range 20 {
		id := fmt.Sprintf("%016x", 0xe1+n)
		if err := w.submit(id, job("work 300", 500, 300, "", 1)); err != nil {
			return verdict{}, err
		}
		open[id] = true
		w.pause(100 * time.Millisecond)
	}
	w.pause(finish)
	for id := range open {
		if s := w.state(id); s == "completed" {
			delete(open, id)
		}
	}
	for _, r := range w.runsOf(lastingID) {
		if r.ended.IsZero() {
			w.rec.add("the tenant has its max_count running: the rule excuses what waits")
			return verdict{}, nil
		}
	}
	if len(open) == 0 {
		return verdict{}, nil
	}
	return w.idle(open, 1)
}

// budget: the stop that evacuates a subtask for a wave gets no response, and an executor with
// another subtask of the step leaves meanwhile. Rule AVAIL: a stop ends a subtask that is at work
// while so many others of its step are away.
func budget(w *world) (verdict, error) {
	list, err := w.prepare(7, 0)
	if err != nil {
		return verdict{}, err
	}
	const id, count, allowed = "00000000000000b0", 7, 1
	lasting := map[string]any{"spec": "last", "steps": []any{map[string]any{
		"count": count, "cpu": 500, "mem_mb": 64, "estimate_ms": 1000, "long_running": true, "anti_affinity": 1, "max_unavailable": allowed,
	}}}
	if err := w.submit(id, lasting); err != nil {
		return verdict{}, err
	}
	if !w.await(10*time.Second, func() bool { return len(w.runsOf(id)) == count }) {
		return verdict{}, fmt.Errorf("%w: the subtasks were not started", errCannotRun)
	}
	w.pause(3 * time.Second)
	first, leaving := list[0].exec, list[1].exec
	taskOn := func(e *executor) string {
		e.mu.Lock()
		defer e.mu.Unlock()
		for task := range e.running {
			return task
		}
		return ""
	}
	evacuated := taskOn(first)
	if w.trouble {
		first.mu.Lock()
		first.loseStop, first.onStop = evacuated, leaving.leave
		first.mu.Unlock()
	}
	if err := w.startWave(1, 30, 1, list[0]); err != nil {
		return verdict{}, err
	}
	if !w.trouble {
		w.pause(500 * time.Millisecond)
		go leaving.leave()
	}
	w.pause(10 * time.Second)
	runs := w.runsOf(id)
	for _, r := range runs {
		if r.task != evacuated || r.number != 1 || r.how != "stopped" {
			continue
		}
		away := map[string]bool{}
		for _, o := range runs {
			if o.task == evacuated {
				continue
			}
			if _, known := away[o.task]; !known {
				away[o.task] = false
			}
			if o.how == "stopped" && o.ended.Before(r.ended.Add(-stopTime)) {
				away[o.task] = true // unless a later run was at work
			}
		}
		for _, o := range runs {
			if o.begun.Before(r.ended) && (o.ended.IsZero() || o.ended.After(r.ended)) {
				away[o.task] = false
			}
		}
		n := 0
		for task, is := range away {
			if is {
				n++
				w.rec.add("when the stop of %s took effect, %s was away, ended by a stop", evacuated, task)
			}
		}
		if n >= allowed {
			return verdict{fmt.Sprintf("AVAIL: a stop has ended %s, at work on an executor that isn't draining, while %d other subtask(s) of its step were away; max_unavailable is %d", evacuated, n, allowed)}, nil
		}
	}
	return verdict{}, nil
}
