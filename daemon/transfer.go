package daemon

import (
	"context"
	"sync"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/control"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/quota"
)

const (
	// collectTimeout bounds asking one daemon what it holds of ended terms.
	collectTimeout = 300 * time.Millisecond
	// collectPatience is how long the leader hopes for the word of every daemon
	// before it moves what the others declared.
	collectPatience = time.Second
)

// holdingRequest asks a daemon what it holds of a zone's ended arbiter terms.
type holdingRequest struct {
	Zone string `cbor:"1,keyasint"`
	// Term is the zone's current term; grants below it count.
	Term uint64 `cbor:"2,keyasint"`
}

// holdingReply counts the grants held by team.
type holdingReply struct {
	Incarnation string        `cbor:"1,keyasint"`
	Teams       []teamHolding `cbor:"2,keyasint,omitempty"`
}

type teamHolding struct {
	Team  string `cbor:"1,keyasint"`
	Units int64  `cbor:"2,keyasint"`
}

// handleHoldings answers a holdingRequest. From then on this daemon accepts no
// grant of the ended terms.
func (s *slotClient) handleHoldings(_ context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var r holdingRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	return s.holdings(r), nil
}

func (s *slotClient) holdings(r holdingRequest) holdingReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared[r.Zone] = max(s.declared[r.Zone], r.Term)
	s.expire(clock.Now())
	counts := make(map[string]int64)
	for id, a := range s.accepted {
		if id.Zone == r.Zone && id.Term < r.Term && a.grant.Team != "" {
			counts[a.grant.Team]++
		}
	}
	reply := holdingReply{Incarnation: s.self.Incarnation}
	for team, n := range counts {
		reply.Teams = append(reply.Teams, teamHolding{Team: team, Units: n})
	}
	return reply
}

// daemonSeen is since when the leader knows a daemon's incarnation.
type daemonSeen struct {
	incarnation string
	since       time.Time
}

// transfers moves the units of ended arbiter terms to their successors. It
// belongs to the leader's duties and is used by one goroutine.
type transfers struct {
	plane *controlPlane
	seen  map[string]daemonSeen
	// waiting is since when a zone has units that may move.
	waiting map[string]time.Time
	// ask asks a daemon what it holds.
	ask func(ctx context.Context, daemon string, r holdingRequest) (holdingReply, error)
}

func newTransfers(c *controlPlane) *transfers {
	return &transfers{
		plane:   c,
		seen:    make(map[string]daemonSeen),
		waiting: make(map[string]time.Time),
		ask: func(ctx context.Context, daemon string, r holdingRequest) (holdingReply, error) {
			if daemon == c.self.Name {
				return c.ownHoldings(r), nil
			}
			var reply holdingReply
			err := c.link.Call(ctx, daemon, methodHoldings, r, &reply)
			return reply, err
		},
	}
}

// forget drops what was learned under an earlier leadership.
func (t *transfers) forget() {
	t.seen = make(map[string]daemonSeen)
	t.waiting = make(map[string]time.Time)
}

// plan returns the transfers that are due now.
func (t *transfers) plan(ctx context.Context) quota.Command {
	now := clock.Now()
	v := t.plane.holder.View()
	t.noteDaemons(now, v.Daemons())
	var cmd quota.Command
	for _, a := range v.Arbiters() {
		teams := t.transferable(a.Zone)
		if len(teams) == 0 {
			delete(t.waiting, a.Zone)
			continue
		}
		if _, ok := t.waiting[a.Zone]; !ok {
			t.waiting[a.Zone] = now
		}
		running, complete := t.collect(ctx, a, v)
		if complete || now.Sub(t.waiting[a.Zone]) >= collectPatience {
			cmd.Transfers = append(cmd.Transfers, transfersOf(a, teams, running, complete)...)
		}
	}
	return cmd
}

func transfersOf(a control.Arbiter, teams []string, running map[string]int64, complete bool) []quota.Transfer {
	list := make([]quota.Transfer, 0, len(teams))
	for _, team := range teams {
		list = append(list, quota.Transfer{Zone: a.Zone, Term: a.Term, Team: team, Running: running[team], Complete: complete})
	}
	return list
}

func (t *transfers) transferable(zone string) []string {
	var teams []string
	t.plane.machine.withLedger(func(l *quota.Ledger, _ uint64) { teams = l.Transferable(zone) })
	return teams
}

// noteDaemons records since when each daemon's incarnation is known.
func (t *transfers) noteDaemons(now time.Time, daemons []control.Daemon) {
	for _, d := range daemons {
		if old, ok := t.seen[d.Name]; !ok || old.incarnation != d.Incarnation {
			t.seen[d.Name] = daemonSeen{incarnation: d.Incarnation, since: now}
		}
	}
}

// collect asks every daemon what it holds of a zone's ended terms. The answer
// is complete when each registered daemon answered, in an incarnation known for
// so long that nothing started by an earlier one can be running.
func (t *transfers) collect(ctx context.Context, a control.Arbiter, v *control.View) (map[string]int64, bool) {
	r := holdingRequest{Zone: a.Zone, Term: a.Term * provisionalTerms}
	longest := v.Document().LongestRun() + quota.DefaultLease + quota.DefaultStartWithin + collectPatience
	var mu sync.Mutex
	var wg sync.WaitGroup
	running := make(map[string]int64)
	complete := true
	for _, d := range v.Daemons() {
		covers := clock.Since(t.seen[d.Name].since) > longest
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
			defer cancel()
			reply, err := t.ask(callCtx, d.Name, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.Incarnation != d.Incarnation || !covers {
				complete = false
			}
			for _, h := range reply.Teams {
				running[h.Team] += h.Units
			}
		})
	}
	wg.Wait()
	return running, complete
}
