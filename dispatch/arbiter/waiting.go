package arbiter

import (
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/fairshare"
)

// service is the state of one service of the document.
type service struct {
	name            string
	cfg             serviceConfig
	freeEndpoints   indexHeap[*endpointSlots] // endpoints with a free slot, least busy first
	capacity        int                       // slots of endpoints that may get work
	free            int                       // free slots among them
	ready           int                       // number of endpoints that may get work
	waiting         int
	quick           *class
	long            *class
	lastLong        bool      // the latest grant was for long work
	noEndpointSince time.Time // start of the period without an endpoint that may get work
	dirty           bool
}

// class is the state of one class of work of a service.
type class struct {
	name      api.Class
	svc       *service
	fairOrder *fairshare.Order
	backlogs  map[string]*teamBacklog // by team
	running   int
	waiting   int
}

// team is the state of one team over all services.
type team struct {
	name     string
	weight   float64
	blocked  bool // the limiter had no free unit
	units    int  // units acquired and not released
	grants   int  // grants that may be running, adopted ones included
	backlogs []*teamBacklog
}

// runs reports whether any request of the team may be running.
func (t *team) runs() bool { return t.grants > 0 }

// teamBacklog holds the waiting asks of one team in one class of a service. Its
// queues get equal slot time while all of them have waiting asks, so that a
// burst in one queue does not delay the others.
type teamBacklog struct {
	team        *team
	class       *class
	queues      []*teamQueue
	waiting     int
	virtualTime time.Duration // virtual time of the queue served last
}

// teamQueue is the FIFO of one team in one queue.
type teamQueue struct {
	queue         *queue
	backlog       *teamBacklog
	head, tail    *waiter
	count         int
	virtualTime   time.Duration // slot time charged, at least the backlog's virtual time when the first ask was queued
	startedAt     time.Time     // latest start, zero if the queue has been empty since
	startInterval time.Duration // moving mean of the time between starts, zero before the second
}

// queue is the state of one queue of the document.
type queue struct {
	name       string
	cfg        queueConfig
	svc        *service
	class      *class
	waiting    int
	teamQueues map[string]*teamQueue // by team
	runTime    time.Duration         // moving mean of run times, zero before the first
}

// waiter is an ask that waits in this zone or was forwarded to another one.
type waiter struct {
	ask        dispatch.Ask
	key        askKey
	teamQueue  *teamQueue
	zone       string // zone that the ask was forwarded to, empty if it waits in this zone
	deadline   time.Time
	arrival    uint64
	prev, next *waiter
	index      int
}

func (w *waiter) before(other *waiter) bool { return w.deadline.Before(other.deadline) }

func (w *waiter) heapPosition() *int { return &w.index }

// enqueue appends the waiter to its team's FIFO in the queue.
func (a *Arbiter) enqueue(q *queue, w *waiter) {
	tq := a.teamQueueOf(q, w.ask.Team)
	w.teamQueue = tq
	w.prev = tq.tail
	if tq.tail == nil {
		tq.head = w
		tq.virtualTime = max(tq.virtualTime, tq.backlog.virtualTime)
	} else {
		tq.tail.next = w
	}
	tq.tail = w
	a.count(tq, 1)
	a.refreshBacklog(tq.backlog)
}

// dequeue removes the waiter from its team's FIFO.
func (a *Arbiter) dequeue(w *waiter) {
	tq := w.teamQueue
	if w.prev == nil {
		tq.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		tq.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.teamQueue = nil, nil, nil
	a.count(tq, -1)
	a.refreshBacklog(tq.backlog)
}

func (a *Arbiter) count(tq *teamQueue, n int) {
	tq.count += n
	tq.backlog.waiting += n
	tq.backlog.class.waiting += n
	tq.backlog.class.svc.waiting += n
	tq.queue.waiting += n
	a.waiting += n
}

// charge adds the expected run time of a start to the queue's virtual time and
// updates the mean start interval.
func (tq *teamQueue) charge(now time.Time) {
	tq.backlog.virtualTime = tq.virtualTime
	tq.virtualTime += tq.queue.expectedRun()
	if !tq.startedAt.IsZero() {
		tq.startInterval = movingMean(tq.startInterval, now.Sub(tq.startedAt))
	}
	tq.startedAt = now
	if tq.count == 1 {
		// The queue becomes empty: the time to the next start will include idle
		// time, and past intervals do not predict the next busy period.
		tq.startedAt = time.Time{}
		tq.startInterval = 0
	}
}

// before reports whether the queue is served before another one of its backlog.
func (tq *teamQueue) before(other *teamQueue) bool {
	if tq.virtualTime != other.virtualTime {
		return tq.virtualTime < other.virtualTime
	}
	return tq.head.arrival < other.head.arrival
}

// refreshBacklog updates whether the team takes part in the fair-share order.
func (a *Arbiter) refreshBacklog(bl *teamBacklog) {
	bl.class.fairOrder.SetWaiting(bl.team.name, bl.waiting > 0 && !bl.team.blocked)
}

// teamQueueOf returns the FIFO of a team in a queue and creates it if necessary.
func (a *Arbiter) teamQueueOf(q *queue, teamName string) *teamQueue {
	if tq, ok := q.teamQueues[teamName]; ok {
		return tq
	}
	bl := a.backlogOf(q.class, a.teamOf(teamName))
	tq := &teamQueue{queue: q, backlog: bl}
	bl.queues = append(bl.queues, tq)
	q.teamQueues[teamName] = tq
	return tq
}

func (a *Arbiter) backlogOf(c *class, t *team) *teamBacklog {
	if bl, ok := c.backlogs[t.name]; ok {
		return bl
	}
	bl := &teamBacklog{team: t, class: c}
	c.backlogs[t.name] = bl
	c.fairOrder.SetWeight(t.name, t.weight)
	t.backlogs = append(t.backlogs, bl)
	return bl
}

func (a *Arbiter) teamOf(name string) *team {
	if t, ok := a.teams[name]; ok {
		return t
	}
	t := &team{name: name, weight: a.weightOf(name)}
	a.teams[name] = t
	return t
}

func (a *Arbiter) weightOf(name string) float64 {
	if name == "" {
		return a.opts.OpenShare
	}
	return a.cfg.teams[name].share
}

// block excludes the team from scheduling until a unit may be free again.
func (a *Arbiter) block(t *team) {
	t.blocked = true
	a.blockedTeams = append(a.blockedTeams, t)
	for _, bl := range t.backlogs {
		a.refreshBacklog(bl)
	}
}

// unblock includes a team that was at its limit in scheduling again.
func (a *Arbiter) unblock(t *team) {
	if !t.blocked {
		return
	}
	t.blocked = false
	for _, bl := range t.backlogs {
		a.refreshBacklog(bl)
		if bl.waiting > 0 {
			a.markDirty(bl.class.svc)
		}
	}
}

// LimitChanged reports that the limiter may have more units for the team.
func (a *Arbiter) LimitChanged(now time.Time, name string) []Event {
	a.begin(now)
	if t, ok := a.teams[name]; ok {
		a.unblock(t)
	}
	return a.finish()
}
