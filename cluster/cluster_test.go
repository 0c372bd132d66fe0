package cluster

import (
	"cmp"
	"context"
	"net"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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

// daemon is a simulated process with peer links and a member of the log.
type daemon struct {
	name   string
	link   *peerlink.Node
	member *Member[int]
	ended  chan error
	stop   context.CancelFunc
}

// newLink returns a peer link node named by the listener's address.
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

// serve accepts peer links on l.
func serve(t *testing.T, l net.Listener, link *peerlink.Node) {
	t.Helper()
	s := httptest.NewUnstartedServer(link.Handler())
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	t.Cleanup(s.CloseClientConnections)
}

// prepareMember, if set, is called with each member before it runs.
var prepareMember func(*Member[int])

// start opens and runs a member.
func start(t *testing.T, l net.Listener, seeds []string, form bool, folder string) *daemon {
	t.Helper()
	link := newLink(t, l)
	m, err := Open(Config[int]{
		Self: l.Addr().String(), Zone: "z", DataFolder: folder, Seeds: seeds, Form: form, Voters: 3,
		Silence: 2 * time.Second, Machine: &counter{}, Link: link,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if prepareMember != nil {
		prepareMember(m)
	}
	serve(t, l, link)
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{name: l.Addr().String(), link: link, member: m, ended: make(chan error, 1), stop: stop}
	go func() { d.ended <- m.Run(ctx) }()
	t.Cleanup(stop)
	return d
}

// waitLimit bounds each wait of a test, also on a busy machine.
const waitLimit = time.Minute

// waitFor polls until ok returns true and fails the test after waitLimit.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.After(waitLimit)
	for !ok() {
		select {
		case <-limit:
			t.Fatalf("timed out waiting for: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func formCluster(t *testing.T, n int) ([]*daemon, []string) {
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

func startFinder(t *testing.T, seeds []string) *Finder {
	t.Helper()
	link := newLink(t, listen(t))
	f := NewFinder(link, seeds, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.Run(ctx)
	return f
}

func TestSeedsFormClusterAndOthersJoin(t *testing.T) {
	all, seeds := formCluster(t, 3)
	waitFor(t, "a leader", func() bool { return leaderOf(all) != nil })
	joiner := start(t, listen(t), seeds, true, t.TempDir())
	waitFor(t, "fourth daemon is a member", func() bool { return joiner.member.Node() != nil && joiner.member.isMember() })
	f := startFinder(t, seeds)
	waitFor(t, "finder knows all four members", func() bool { return f.HasLeader() && len(f.Members()) == 4 })
}

// A daemon whose seeds don't lead must join all the same: with an empty disk it knows no other
// member. Seen in the soak (seed 9024): a seed lost its disk while a daemon led that was none.
func TestJoinRequestReachesLeaderThatIsNoSeed(t *testing.T) {
	all, _ := formCluster(t, 3)
	waitFor(t, "a leader", func() bool { return leaderOf(all) != nil })
	leader := leaderOf(all)
	var followers []string
	for _, d := range all {
		if d != leader {
			followers = append(followers, d.name)
		}
	}
	joiner := start(t, listen(t), followers, false, t.TempDir())
	waitFor(t, "joiner is a member", func() bool { return joiner.member.Node() != nil && joiner.member.isMember() })
}

// A seed loses its disk at the very first start, after the others have begun to form the cluster
// with it, and comes back with an empty one and without the permission to form a cluster. The
// others waited for it for good.
func TestClusterFormsAfterSeedLostDiskAtFirstStart(t *testing.T) {
	for name, victim := range map[string]int{"coordinator": 0, "other seed": 1} {
		t.Run(name, func(t *testing.T) {
			listeners := []net.Listener{listen(t), listen(t), listen(t)}
			slices.SortFunc(listeners, func(a, b net.Listener) int { return cmp.Compare(a.Addr().String(), b.Addr().String()) })
			var seeds []string
			for _, l := range listeners {
				seeds = append(seeds, l.Addr().String())
			}
			var all []*daemon
			for _, l := range listeners[:2] { // the third one is late, so that nothing is formed yet
				all = append(all, start(t, l, seeds, true, t.TempDir()))
			}
			time.Sleep(1500 * time.Millisecond) // the coordinator has invited the other
			lost := all[victim]
			lost.stop()
			<-lost.ended
			lost.link.Close()
			_ = listeners[victim].Close()
			l, err := net.Listen("tcp", lost.name)
			if err != nil {
				t.Fatal(err)
			}
			all[victim] = start(t, l, seeds, false, t.TempDir())
			all = append(all, start(t, listeners[2], seeds, true, t.TempDir()))
			waitFor(t, "a leader", func() bool { return leaderOf(all) != nil })
			for _, d := range all {
				waitFor(t, "all seeds are members", func() bool { return d.member.Node() != nil && d.member.isMember() })
			}
		})
	}
}

// A leader whose log has failed still answers on its peer links. Followers must
// switch to another leader, and the failed member's Run must return. Seen with a
// full disk in deploy/days/disks.toml with seed 1071045252018.
func TestLogFailureStopsMemberAndLeadership(t *testing.T) {
	all, seeds := formCluster(t, 3)
	f := startFinder(t, seeds)
	waitFor(t, "finder has a leader", f.HasLeader)
	old := leaderOf(all)
	waitFor(t, "a leader with a lease", func() bool { old = leaderOf(all); return old != nil })
	old.member.Node().Stop()
	select {
	case <-old.ended:
	case <-time.After(waitLimit):
		t.Fatal("member still running after its log stopped")
	}
	waitFor(t, "finder has another leader", func() bool {
		name, _ := f.Leader()
		return f.HasLeader() && name != old.name
	})
}

// A daemon that lost its disk returns with a new node ID, which replaces the old
// one in the membership.
func TestLostDiskIsReplaced(t *testing.T) {
	all, seeds := formCluster(t, 3)
	waitFor(t, "a leader", func() bool { return leaderOf(all) != nil })
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
	replacement := start(t, l, seeds, false, t.TempDir())
	waitFor(t, "new disk is a voter and the old one is removed", func() bool {
		leader := leaderOf(all)
		if leader == nil || replacement.member.Node() == nil {
			return false
		}
		votes, old := false, false
		for _, m := range leader.member.Node().Status().Members {
			votes = votes || m.Voter && m.ID == replacement.member.disk.Node()
			old = old || m.ID == lost
		}
		return votes && !old
	})
}
