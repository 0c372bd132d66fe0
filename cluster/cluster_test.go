package cluster

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/consensus"
	"magnoliastand.example/peerlink"
)

// counter is a state machine that counts entries.
type counter struct{ n int }

func (c *counter) Apply(consensus.Entry) int { c.n++; return c.n }
func (c *counter) Snapshot() ([]byte, error) { return []byte{byte(c.n)}, nil }
func (c *counter) Restore(data []byte) error {
	c.n = 0
	if len(data) > 0 {
		c.n = int(data[0])
	}
	return nil
}

// daemon is one process of the tests: peer links and perhaps a member.
type daemon struct {
	name   string
	link   *peerlink.Node
	member *Member[int]
	ended  chan error
	stop   context.CancelFunc
}

// newLink listens on a free port; the daemon is named by its address.
func newLink(t *testing.T, l net.Listener) *peerlink.Node {
	t.Helper()
	link, err := peerlink.New(peerlink.Config{
		Self:   peerlink.Identity{Cluster: "c", Name: l.Addr().String(), Incarnation: l.Addr().String()},
		Secret: []byte("0123456789abcdef"), NamesAreAddresses: true, PingInterval: time.Second, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serve accepts links for a daemon.
func serve(t *testing.T, l net.Listener, link *peerlink.Node) {
	t.Helper()
	s := httptest.NewUnstartedServer(link.Handler())
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	t.Cleanup(s.CloseClientConnections)
}

// start runs a member.
func start(t *testing.T, l net.Listener, seeds []string, form bool, folder string) *daemon {
	t.Helper()
	link := newLink(t, l)
	m, err := Open(Config[int]{
		Self: l.Addr().String(), Zone: "z", DataFolder: folder, Seeds: seeds, Form: form, Voters: 3,
		Silence: 2 * time.Second, Machine: &counter{}, Link: link, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	serve(t, l, link)
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{name: l.Addr().String(), link: link, member: m, ended: make(chan error, 1), stop: stop}
	go func() { d.ended <- m.Run(ctx) }()
	t.Cleanup(stop)
	return d
}

// until waits for a condition, as long as the test may run.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatalf("not reached: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func form(t *testing.T, n int) ([]*daemon, []string) {
	t.Helper()
	var listeners []net.Listener
	var seeds []string
	for range n {
		l := listen(t)
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
	}
	var all []*daemon
	for _, l := range listeners {
		all = append(all, start(t, l, seeds, true, t.TempDir()))
	}
	return all, seeds
}

func leaderOf(all []*daemon) *daemon {
	for _, d := range all {
		if _, ok := d.member.Lease(); ok {
			return d
		}
	}
	return nil
}

func find(t *testing.T, seeds []string) *Finder {
	t.Helper()
	link := newLink(t, listen(t))
	f := NewFinder(link, seeds, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.Run(ctx)
	return f
}

func TestSeedsFormAndOthersJoin(t *testing.T) {
	all, seeds := form(t, 3)
	until(t, "a leader", func() bool { return leaderOf(all) != nil })
	late := start(t, listen(t), seeds, true, t.TempDir())
	until(t, "the fourth is a member", func() bool { return late.member.Node() != nil && late.member.isMember() })
	f := find(t, seeds)
	until(t, "the finder knows all four", func() bool { return f.Fresh() && len(f.Members()) == 4 })
}

// A leader whose log has ended still answers its links. Its followers must not
// stay with it, and its process must end (deploy/days/disks.toml, seed
// 1071045252018: a full disk).
func TestFailedLogEndsTheMemberAndItsLead(t *testing.T) {
	all, seeds := form(t, 3)
	f := find(t, seeds)
	until(t, "the finder has a leader", f.Fresh)
	old := leaderOf(all)
	until(t, "a leader with a lease", func() bool { old = leaderOf(all); return old != nil })
	old.member.Node().Stop()
	select {
	case <-old.ended:
	case <-t.Context().Done():
		t.Fatal("the member runs on without its log")
	}
	until(t, "the finder has another leader", func() bool {
		name, _ := f.Leader()
		return f.Fresh() && name != old.name
	})
}

// A daemon that lost its disk comes back under its name with a new identity and
// takes the place of the old one.
func TestLostDiskIsReplaced(t *testing.T) {
	all, seeds := form(t, 3)
	until(t, "a leader", func() bool { return leaderOf(all) != nil })
	var victim *daemon
	for _, d := range all {
		if _, leads := d.member.Lease(); !leads {
			victim = d
		}
	}
	lost := victim.member.disk.Node()
	victim.stop()
	<-victim.ended
	victim.link.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	again := start(t, l, seeds, false, t.TempDir())
	until(t, "the new disk votes and the old one is gone", func() bool {
		leader := leaderOf(all)
		if leader == nil || again.member.Node() == nil {
			return false
		}
		votes, old := false, false
		for _, m := range leader.member.Node().Status().Members {
			votes = votes || m.Voter && m.ID == again.member.disk.Node()
			old = old || m.ID == lost
		}
		return votes && !old
	})
}
