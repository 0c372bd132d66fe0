package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
)

const (
	// pollInterval is the time between two questions who leads, while a leader is known.
	pollInterval = 500 * time.Millisecond
	// searchInterval is the same while none is known.
	searchInterval = 100 * time.Millisecond
	// freshFor is how long the last answer of a leader counts.
	freshFor = 2 * time.Second
)

// Finder keeps track of the leader for a daemon that is no member.
type Finder struct {
	link *peerlink.Node
	log  zerolog.Logger

	mu      sync.Mutex
	known   []string
	leader  string
	term    uint64
	heard   time.Time
	changed chan struct{}
}

// NewFinder returns a finder that first asks the seeds.
func NewFinder(link *peerlink.Node, seeds []string, log zerolog.Logger) *Finder {
	return &Finder{link: link, known: slices.Clone(seeds), log: log, changed: make(chan struct{})}
}

// Run asks until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := pollInterval
		if !f.refresh(ctx) {
			interval = searchInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// AddSeeds adds daemons to ask.
func (f *Finder) AddSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(seeds)
}

func (f *Finder) merge(names []string) {
	for _, n := range names {
		if n != "" && !slices.Contains(f.known, n) {
			f.known = append(f.known, n)
		}
	}
}

// Leader returns the leader that was last heard of, and a channel that is
// closed when that changes.
func (f *Finder) Leader() (name string, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.changed
}

// Members returns the daemons that may lead.
func (f *Finder) Members() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.known)
}

// Fresh reports whether the leader has answered lately.
func (f *Finder) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader != "" && time.Since(f.heard) < freshFor
}

// refresh asks the leader, and all others when it does not confirm its lead.
func (f *Finder) refresh(ctx context.Context) bool {
	leader, _ := f.Leader()
	if leader != "" && f.ask(ctx, leader) {
		return true
	}
	var wg sync.WaitGroup
	found := make(chan bool, len(f.Members()))
	for _, name := range f.Members() {
		wg.Go(func() { found <- f.ask(ctx, name) })
	}
	go func() { wg.Wait(); close(found) }()
	for ok := range found {
		if ok {
			return true
		}
	}
	return false
}

// ask asks one daemon and returns whether it says that it leads.
func (f *Finder) ask(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply leadReply
	if err := f.link.Call(ctx, name, methodLead, leadQuery{}, &reply); err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(reply.Members)
	if reply.Leader != name {
		f.merge([]string{reply.Leader})
		if reply.Leader != "" && reply.Term > f.term {
			f.set(reply.Leader, reply.Term)
		}
		return false
	}
	if reply.Term < f.term {
		return false
	}
	f.heard = time.Now()
	f.set(name, reply.Term)
	return true
}

// set notes the leader of a term and wakes those that wait for one.
func (f *Finder) set(name string, term uint64) {
	if name == f.leader && term == f.term {
		return
	}
	f.log.Info().Str("leader", name).Uint64("term", term).Str("before", f.leader).Msg("leader changed")
	f.leader, f.term = name, term
	close(f.changed)
	f.changed = make(chan struct{})
}
