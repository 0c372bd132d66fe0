package arbiter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/fairshare"
)

// SetConfig applies a new configuration. Asks whose queue or team was removed
// are refused; running requests continue.
func (a *Arbiter) SetConfig(now time.Time, cfg *Config) []Event {
	a.begin(now)
	a.applyConfig(cfg)
	return a.finish()
}

func (a *Arbiter) applyConfig(cfg *Config) {
	a.cfg = cfg
	for name, sc := range cfg.services {
		a.applyService(name, sc)
	}
	moved := a.removeQueues()
	for name, qc := range cfg.queues {
		a.applyQueue(name, qc)
	}
	for _, w := range moved {
		a.requeue(w)
	}
	a.applyTeams()
	a.reassignSlots()
	a.prune()
}

// prune deletes services and teams that are not in the document and have nothing
// running, and rebuilds the sorted list of services.
func (a *Arbiter) prune() {
	for name, s := range a.services {
		if _, ok := a.cfg.services[name]; !ok && s.quick.running+s.long.running == 0 {
			a.pruneService(s)
		}
	}
	for name, t := range a.teams {
		if _, ok := a.cfg.teams[name]; !ok && name != "" && !t.runs() {
			a.pruneTeam(t)
		}
	}
	a.byName = a.byName[:0]
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		a.byName = append(a.byName, a.services[name])
	}
}

func (a *Arbiter) pruneService(s *service) {
	for _, c := range []*class{s.quick, s.long} {
		for _, bl := range c.backlogs {
			bl.team.backlogs = slices.DeleteFunc(bl.team.backlogs, func(other *teamBacklog) bool { return other == bl })
		}
	}
	delete(a.services, s.name)
}

func (a *Arbiter) pruneTeam(t *team) {
	for _, bl := range t.backlogs {
		for _, tq := range bl.queues {
			delete(tq.queue.teamQueues, t.name)
		}
		bl.class.fairOrder.Remove(t.name)
		delete(bl.class.backlogs, t.name)
	}
	a.blockedTeams = slices.DeleteFunc(a.blockedTeams, func(other *team) bool { return other == t })
	delete(a.teams, t.name)
}

func (a *Arbiter) applyService(name string, sc serviceConfig) {
	s, ok := a.services[name]
	if !ok {
		s = &service{name: name, noEndpointSince: a.now}
		s.quick = a.newClass(s, api.ClassQuick)
		s.long = a.newClass(s, api.ClassLong)
		a.services[name] = s
	}
	s.cfg = sc
	a.markDirty(s)
}

func (a *Arbiter) newClass(s *service, name api.Class) *class {
	return &class{
		name:      name,
		svc:       s,
		fairOrder: fairshare.NewOrder(a.opts.MaxCredit),
		backlogs:  make(map[string]*teamBacklog),
	}
}

// removeQueues deletes queues that were removed or have changed their service or
// class, and returns their waiting asks in order of arrival.
func (a *Arbiter) removeQueues() []*waiter {
	var moved []*waiter
	for name, q := range a.queues {
		qc, ok := a.cfg.queues[name]
		if ok && qc.service == q.cfg.service && qc.class == q.cfg.class {
			continue
		}
		delete(a.queues, name)
		for _, tq := range q.teamQueues {
			for tq.head != nil {
				w := tq.head
				a.dequeue(w)
				moved = append(moved, w)
			}
			tq.backlog.removeQueue(tq)
		}
	}
	slices.SortFunc(moved, func(x, y *waiter) int { return int(x.arrival) - int(y.arrival) })
	return moved
}

func (bl *teamBacklog) removeQueue(tq *teamQueue) {
	bl.queues = slices.DeleteFunc(bl.queues, func(other *teamQueue) bool { return other == tq })
}

func (a *Arbiter) applyQueue(name string, qc queueConfig) {
	if q, ok := a.queues[name]; ok {
		q.cfg = qc
		return
	}
	s := a.services[qc.service]
	q := &queue{name: name, cfg: qc, svc: s, class: s.quick, teamQueues: make(map[string]*teamQueue)}
	if qc.class == api.ClassLong {
		q.class = s.long
	}
	a.queues[name] = q
}

// requeue adds an ask to the current queue of its name, or refuses it if the
// queue was removed.
func (a *Arbiter) requeue(w *waiter) {
	q, ok := a.queues[w.ask.Queue]
	if ok {
		a.enqueue(q, w)
		return
	}
	delete(a.asks, w.key)
	a.deadlines.remove(w)
	r := newRefusal(api.CodeUnknownQueue, 0, fmt.Sprintf("queue %q was removed", w.ask.Queue))
	a.emit(Refused{RequestID: w.ask.RequestID, Origin: w.ask.Origin, Refusal: *r})
}

// applyTeams sets the teams' shares and refuses waiting asks of removed teams.
func (a *Arbiter) applyTeams() {
	for _, name := range slices.Sorted(maps.Keys(a.teams)) {
		t := a.teams[name]
		if _, ok := a.cfg.teams[name]; !ok && name != "" {
			a.refuseTeam(t)
			continue
		}
		t.weight = a.weightOf(name)
		for _, bl := range t.backlogs {
			bl.class.fairOrder.SetWeight(name, t.weight)
		}
	}
}

func (a *Arbiter) refuseTeam(t *team) {
	for _, bl := range t.backlogs {
		for _, tq := range bl.queues {
			for tq.head != nil {
				a.refuseWaiter(tq.head, newRefusal(api.CodeKeyInvalid, 0, fmt.Sprintf("team %q was removed", t.name)))
			}
		}
	}
}

// reassignSlots applies changed services and slot counts to the endpoints.
func (a *Arbiter) reassignSlots() {
	for _, sl := range a.slots {
		e, ok := a.reg.Get(sl.id)
		if !ok {
			sl.registered = false
			a.pruneSlots(sl)
			continue
		}
		name := e.Announcement.Service
		s := a.services[name]
		if _, ok := a.cfg.services[name]; !ok {
			s = nil
		}
		a.setService(sl, s)
		a.initUnknown(sl)
		a.refresh(sl)
	}
}
