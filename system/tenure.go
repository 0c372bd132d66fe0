package system

import (
	"context"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/cluster"
)

// maxTenureSuspension is how long the machine may have been suspended during a tenure, in
// all. It is as long as a lease, which doesn't survive a longer suspension with other voters.
const maxTenureSuspension = cluster.LeaseTime

// tenure is the leadership of one driver. It ends with the term, and when the machine was
// suspended: the driver knows workers, orders and announcements by a clock that stood still,
// and the next one starts from the committed state. A leader without other voters keeps its
// term over a suspension.
type tenure struct {
	member *cluster.Member[[]error]
	term   uint64
	// suspended is for how long the machine had been suspended at the start of the tenure.
	suspended time.Duration
}

func newTenure(member *cluster.Member[[]error], term uint64) *tenure {
	return &tenure{member: member, term: term, suspended: clock.Suspended()}
}

// Propose implements driver.Log.
func (t *tenure) Propose(ctx context.Context, term uint64, data []byte) ([]error, error) {
	return t.member.Node().ProposeInTerm(ctx, term, data)
}

// IsLeader implements driver.Log.
func (t *tenure) IsLeader(term uint64) bool {
	leaseTerm, ok := t.member.Lease()
	return ok && leaseTerm == term && term == t.term && !t.interrupted()
}

// interrupted reports whether the machine was suspended for too long.
func (t *tenure) interrupted() bool { return clock.Suspended()-t.suspended > maxTenureSuspension }

// watch calls stop once the tenure has ended. A lease that has run out doesn't end it: the
// quorum may renew it.
func (t *tenure) watch(ctx context.Context, stop func()) {
	for ctx.Err() == nil {
		if t.member.Node().Status().Term != t.term || !t.member.IsLeader() || t.interrupted() {
			stop()
			return
		}
		select {
		case <-time.After(leadershipPollInterval):
		case <-ctx.Done():
		}
	}
}
