package arbiter

import (
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/fairshare"
)

// service is the state of one service of the document.
type service struct {
	name      string
	cfg       serviceConfig
	usable    indexHeap[*slots] // endpoints with a free slot, least busy first
	capacity  int               // slots of endpoints that may get work
	free      int               // free slots among them
	ready     int               // number of endpoints that may get work
	waiting   int
	quick     *class
	long      *class
	lastLong  bool      // the latest grant went to long work
	emptyFrom time.Time // since when no endpoint may get work
	dirty     bool
}

// class is the state of one class of work of a service.
type class struct {
	name    api.Class
	svc     *service
	order   *fairshare.Order
	lines   map[string]*line // by team
	running int
	waiting int
}

// team is the state of one team over all services.
type team struct {
	name    string
	weight  float64
	blocked bool // the limiter gave no unit
	units   int  // units acquired and not released
	grants  int  // grants that may be running, adopted ones included
	lines   []*line
}

// runs reports whether anything of the team may be running.
func (t *team) runs() bool { return t.grants > 0 }

// line is what one team has waiting in one class of a service. Its queues get
// equal slot time while all of them wait, so that a queue at its peak does not
// hold up the others.
type line struct {
	team    *team
	class   *class
	lanes   []*lane
	waiting int
	virtual time.Duration // virtual time of the lane served last
}

// lane is the FIFO of one team in one queue.
type lane struct {
	queue      *queue
	line       *line
	head, tail *waiter
	count      int
	virtual    time.Duration // slot time charged, not less than the line's when it began to wait
	startedAt  time.Time     // latest start while the lane has waited since
	interval   time.Duration // moving mean of the time between such starts, zero before the first
}

// queue is the state of one queue of the document.
type queue struct {
	name    string
	cfg     queueConfig
	svc     *service
	class   *class
	waiting int
	lanes   map[string]*lane // by team
	runTime time.Duration    // moving mean of slot times, zero before the first
}

// waiter is an ask that waits here or was passed on to another zone.
type waiter struct {
	ask        dispatch.Ask
	key        askKey
	lane       *lane
	zone       string // zone that the ask was passed on to, empty while it waits here
	deadline   time.Time
	arrival    uint64
	prev, next *waiter
	index      int
}

func (w *waiter) before(other *waiter) bool { return w.deadline.Before(other.deadline) }

func (w *waiter) place() *int { return &w.index }

// enqueue appends the waiter to its team's lane of the queue.
func (a *Arbiter) enqueue(q *queue, w *waiter) {
	ln := a.laneOf(q, w.ask.Team)
	w.lane = ln
	w.prev = ln.tail
	if ln.tail == nil {
		ln.head = w
		ln.virtual = max(ln.virtual, ln.line.virtual)
	} else {
		ln.tail.next = w
	}
	ln.tail = w
	a.count(ln, 1)
	a.refreshLine(ln.line)
}

// dequeue takes the waiter out of its lane.
func (a *Arbiter) dequeue(w *waiter) {
	ln := w.lane
	if w.prev == nil {
		ln.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		ln.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.lane = nil, nil, nil
	a.count(ln, -1)
	a.refreshLine(ln.line)
}

func (a *Arbiter) count(ln *lane, n int) {
	ln.count += n
	ln.line.waiting += n
	ln.line.class.waiting += n
	ln.line.class.svc.waiting += n
	ln.queue.waiting += n
	a.waiting += n
}

// charge counts a start against the lane.
func (ln *lane) charge(now time.Time) {
	ln.line.virtual = ln.virtual
	ln.virtual += ln.queue.expectedRun()
	if !ln.startedAt.IsZero() {
		ln.interval = movingMean(ln.interval, now.Sub(ln.startedAt))
	}
	ln.startedAt = now
	if ln.count == 1 {
		// The lane is about to be empty: what it will see next says more.
		ln.startedAt = time.Time{}
		ln.interval = 0
	}
}

// before reports whether the lane goes before another one of its line.
func (ln *lane) before(other *lane) bool {
	if ln.virtual != other.virtual {
		return ln.virtual < other.virtual
	}
	return ln.head.arrival < other.head.arrival
}

// refreshLine tells the order whether the team has work that may start.
func (a *Arbiter) refreshLine(l *line) {
	l.class.order.SetWaiting(l.team.name, l.waiting > 0 && !l.team.blocked)
}

// laneOf returns the lane of a team in a queue, made anew if there is none.
func (a *Arbiter) laneOf(q *queue, teamName string) *lane {
	if ln, ok := q.lanes[teamName]; ok {
		return ln
	}
	l := a.lineOf(q.class, a.teamOf(teamName))
	ln := &lane{queue: q, line: l}
	l.lanes = append(l.lanes, ln)
	q.lanes[teamName] = ln
	return ln
}

func (a *Arbiter) lineOf(c *class, t *team) *line {
	if l, ok := c.lines[t.name]; ok {
		return l
	}
	l := &line{team: t, class: c}
	c.lines[t.name] = l
	c.order.SetWeight(t.name, t.weight)
	t.lines = append(t.lines, l)
	return l
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

// block puts the team's lines aside until a unit may be free again.
func (a *Arbiter) block(t *team) {
	t.blocked = true
	a.blocked = append(a.blocked, t)
	for _, l := range t.lines {
		a.refreshLine(l)
	}
}

// unblock lets a team that was at its limit try again.
func (a *Arbiter) unblock(t *team) {
	if !t.blocked {
		return
	}
	t.blocked = false
	for _, l := range t.lines {
		a.refreshLine(l)
		if l.waiting > 0 {
			a.touch(l.class.svc)
		}
	}
}

// LimitChanged tells that the limiter may have more units for the team.
func (a *Arbiter) LimitChanged(now time.Time, name string) []Event {
	a.begin(now)
	if t, ok := a.teams[name]; ok {
		a.unblock(t)
	}
	return a.finish()
}
