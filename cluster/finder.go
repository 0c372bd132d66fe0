package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
	"magnoliastand.example/peerlink"
)

const (
	// pollInterval is the interval between leader queries while a leader is
	// known.
	pollInterval = 500 * time.Millisecond
	// searchInterval is the interval between leader queries while no leader is
	// known.
	searchInterval = 100 * time.Millisecond
	// queryTimeout bounds a leader query: several round trips between zones and a
	// daemon pause of 100 ms. A leader that does not answer may have a successor.
	queryTimeout = 250 * time.Millisecond
	// leaderFreshness is how long a leader's last confirmation remains valid.
	leaderFreshness = 2 * time.Second
)

// Finder tracks the leader on behalf of a daemon that is not a member.
type Finder struct {
	// query asks a daemon for the leader.
	query func(ctx context.Context, name string) (leadReply, error)
	log   zerolog.Logger
	// suspected holds a value after a call of Suspect.
	suspected chan struct{}

	mu          sync.Mutex
	candidates  []string
	leader      string
	term        uint64
	confirmedAt time.Time
	changed     chan struct{}
}

// NewFinder returns a finder that initially queries the seeds.
func NewFinder(link *peerlink.Node, seeds []string, log zerolog.Logger) *Finder {
	query := func(ctx context.Context, name string) (reply leadReply, err error) {
		err = link.Call(ctx, name, methodLead, leadQuery{}, &reply)
		return reply, err
	}
	return newFinder(query, seeds, log)
}

func newFinder(query func(context.Context, string) (leadReply, error), seeds []string, log zerolog.Logger) *Finder {
	return &Finder{query: query, candidates: slices.Clone(seeds), log: log, changed: make(chan struct{}),
		suspected: make(chan struct{}, 1)}
}

// Run queries for the leader until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	refresh := f.refresh
	for ctx.Err() == nil {
		interval, suspected := pollInterval, f.suspected
		if refresh(ctx) {
			refresh = f.refresh
			// Suspicions from before the leader's confirmation are void.
			select {
			case <-f.suspected:
			default:
			}
		} else {
			interval, suspected = searchInterval, nil
			refresh = f.queryAll
		}
		select {
		case <-time.After(interval):
		case <-suspected:
			refresh = f.queryAll
		case <-ctx.Done():
		}
	}
}

// Suspect reports that the leader does not reply to calls. All daemons are then queried at
// once, which is also the probe whether the leader replies again. It does not block, and
// has no effect while no leader is confirmed.
func (f *Finder) Suspect() {
	select {
	case f.suspected <- struct{}{}:
	default:
	}
}

// AddSeeds adds daemons to query.
func (f *Finder) AddSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addCandidates(seeds)
}

func (f *Finder) addCandidates(names []string) {
	for _, n := range names {
		if n != "" && !slices.Contains(f.candidates, n) {
			f.candidates = append(f.candidates, n)
		}
	}
}

// Leader returns the last known leader and a channel that is closed when the
// leader or its term changes.
func (f *Finder) Leader() (name string, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.changed
}

// Members returns the daemons that may be the leader.
func (f *Finder) Members() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.candidates)
}

// HasLeader reports whether the leader confirmed its leadership within
// leaderFreshness.
func (f *Finder) HasLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader != "" && clock.Since(f.confirmedAt) < leaderFreshness
}

// FreshLeader returns the leader if it confirmed its leadership within
// leaderFreshness, or "".
func (f *Finder) FreshLeader() string {
	if !f.HasLeader() {
		return ""
	}
	name, _ := f.Leader()
	return name
}

// refresh queries the known leader, and all candidates if it does not confirm its
// leadership.
func (f *Finder) refresh(ctx context.Context) bool {
	leader, _ := f.Leader()
	if leader != "" && f.queryLeader(ctx, leader) {
		return true
	}
	return f.queryAll(ctx)
}

// queryAll queries all candidates, among them the known leader, and reports whether one is
// the leader.
func (f *Finder) queryAll(ctx context.Context) bool {
	var wg sync.WaitGroup
	found := make(chan bool, len(f.Members()))
	for _, name := range f.Members() {
		wg.Go(func() { found <- f.queryLeader(ctx, name) })
	}
	go func() { wg.Wait(); close(found) }()
	for ok := range found {
		if ok {
			return true
		}
	}
	return false
}

// queryLeader queries one daemon and reports whether it is the leader.
func (f *Finder) queryLeader(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := f.query(ctx, name)
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addCandidates(reply.Members)
	if reply.Leader != name {
		f.addCandidates([]string{reply.Leader})
		if reply.Leader != "" && reply.Term > f.term {
			f.setLeader(reply.Leader, reply.Term)
		}
		return false
	}
	if reply.Term < f.term {
		return false
	}
	f.confirmedAt = clock.Now()
	f.setLeader(name, reply.Term)
	return true
}

// setLeader records the leader of a term and wakes the goroutines waiting for a
// change.
func (f *Finder) setLeader(name string, term uint64) {
	if name == f.leader && term == f.term {
		return
	}
	f.log.Info().Str("leader", name).Uint64("term", term).Str("before", f.leader).Msg("leader changed")
	f.leader, f.term = name, term
	close(f.changed)
	f.changed = make(chan struct{})
}
