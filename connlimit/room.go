package connlimit

import "time"

const (
	// ordinaryBytes is what a connection may hold before its request counts as large: the
	// first 4 KiB that net/http reads, and a body of some KiB.
	ordinaryBytes = connectionBytes + 40<<10
	// largePart of the memory, one in so many, may be held by what large requests hold beyond
	// ordinaryBytes. A single one may use more.
	largePart = 2
	// blockedPart of the connections, one in so many, may make no progress with their
	// response for stalledWrite.
	blockedPart = 4
)

// need is what a connection lacks.
type need int

const (
	needConnection  need = iota // to be admitted
	needMemory                  // for a request of ordinary size
	needLargeMemory             // for a large request
	needLargeShare              // for the same, where large requests hold all that they may
)

// rank orders the connections that may be closed to make room: by group, then by cost.
type rank struct {
	group int
	cost  float64
}

// Groups of rank, the first to be closed last.
const (
	groupNone     = iota // not to be closed
	groupRecent          // receives a request of ordinary size
	groupLarge           // receives a large request
	groupStalled         // has made no progress for stalledTime
	groupAnswered        // the handler has answered; net/http waits for the rest of the body
	groupIdle            // has no request
)

func (r rank) above(o rank) bool {
	if r.group != o.group {
		return r.group > o.group
	}
	return r.cost > o.cost
}

// rankOf returns the rank of c for another connection, or the same one, that needs room. The
// cost of a request is the time for which the server has waited for the client, times the
// memory held if that is what is needed.
func (g *Guard) rankOf(c *conn, n need, now time.Time, writeGrace time.Duration) rank {
	waiting, ok := c.waiting(now, writeGrace)
	if !ok {
		return rank{}
	}
	r := rank{group: groupRecent, cost: max(waiting.Seconds(), 1e-9)}
	if c.phase == phaseIdle && n != needLargeShare {
		r.group = groupIdle
		return r
	}
	if n != needConnection {
		r.cost *= float64(c.held)
	}
	large := excess(c.held) > 0
	forLarge := n == needLargeMemory || n == needLargeShare
	switch {
	case n == needLargeShare && !large:
		return rank{} // has no part in it
	case c.phase == phaseRest && c.writing.IsZero():
		r.group = groupAnswered
	case waiting >= stalledTime:
		r.group = groupStalled
	case forLarge && (!large || waiting < yieldingRead):
		return rank{}
	case large && n != needConnection:
		r.group = groupLarge
	}
	return r
}

// victim returns the connection to be closed next so that c gets what it needs, or nil. It may
// be c itself.
func (g *Guard) victim(c *conn, n need, now time.Time) *conn {
	writeGrace := stalledWrite
	if g.blocked(now) > g.cfg.Connections/blockedPart {
		writeGrace = blockedWrite
	}
	exempt := !c.privileged && !g.privilegedExceed()
	var worst *conn
	var worstRank rank
	for other := range g.conns {
		if exempt && other.privileged {
			continue
		}
		if r := g.rankOf(other, n, now, writeGrace); r.above(worstRank) {
			worst, worstRank = other, r
		}
	}
	return worst
}

// blocked returns the number of responses that make no progress.
func (g *Guard) blocked(now time.Time) int {
	n := 0
	for c := range g.conns {
		if c.isBlocked(now) {
			n++
		}
	}
	return n
}

// privilegedExceed reports whether privileged connections hold more than what is left to them
// alone.
func (g *Guard) privilegedExceed() bool {
	u := &g.privileged
	return u.connections > g.cfg.Connections/privilegedPart || u.bytes > g.cfg.MemoryBytes/privilegedMemoryPart
}

// usage is what a class of connections holds.
type usage struct {
	connections int
	bytes       int64
}

func (g *Guard) usageOf(c *conn) *usage {
	if c.privileged {
		return &g.privileged
	}
	return &g.ordinary
}

func (g *Guard) connections() int { return g.ordinary.connections + g.privileged.connections }

func (g *Guard) bytes() int64 { return g.ordinary.bytes + g.privileged.bytes }

// hasConnection reports whether a connection like c can be added.
func (g *Guard) hasConnection(c *conn) bool {
	limit := g.cfg.Connections
	if g.connections() >= limit {
		return false
	}
	return c.privileged || g.ordinary.connections < limit-limit/privilegedPart
}

// hasMemory reports whether c can be charged n bytes more.
func (g *Guard) hasMemory(c *conn, n int64) bool {
	limit := g.cfg.MemoryBytes
	if g.bytes()+n > limit {
		return false
	}
	return c.privileged || g.ordinary.bytes+n <= limit-limit/privilegedMemoryPart
}

// lacks returns what keeps c from being charged n bytes more; ok is true if nothing does.
func (g *Guard) lacks(c *conn, n int64) (lacking need, ok bool) {
	before, after := excess(c.held), excess(c.held+n)
	alone := g.large == before
	switch {
	case after > before && !alone && g.large+after-before > g.cfg.MemoryBytes/largePart:
		return needLargeShare, false
	case g.hasMemory(c, n):
		return 0, true
	case after > before:
		return needLargeMemory, false
	}
	return needMemory, false
}

// excess returns the part of what a connection holds that makes its request a large one.
func excess(held int64) int64 { return max(0, held-ordinaryBytes) }

// charge adds n bytes, which may be negative, to what a connection holds.
func (g *Guard) charge(c *conn, n int64) {
	if c.gone {
		return
	}
	g.large += excess(c.held+n) - excess(c.held)
	g.usageOf(c).bytes += n
	c.held += n
}
