package cluster

import (
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/storage"
)

// fullDisk is a storage whose writes fail while full is set.
type fullDisk struct {
	storage.Storage
	full *atomic.Bool
}

var errNoSpace = errors.Wrap(storage.ErrIO, "no space left on device")

func (d fullDisk) Save(u consensus.Update) error {
	if d.full.Load() {
		return errNoSpace
	}
	return d.Storage.Save(u)
}

// letDiskFill makes the disk of a member fail while the returned value
// is set.
func letDiskFill(m *Member[int]) *atomic.Bool {
	full := &atomic.Bool{}
	reopen := m.reopen
	m.disk = fullDisk{m.disk, full}
	m.reopen = func() (storage.Storage, error) {
		if full.Load() {
			return nil, errNoSpace
		}
		disk, err := reopen()
		return fullDisk{disk, full}, err
	}
	return full
}

// TestMemberOutlivesFullDisk fills the disk of the leader for a while. The member
// must give up leadership, forward to the new leader, and vote again afterwards.
func TestMemberOutlivesFullDisk(t *testing.T) {
	full := map[*Member[int]]*atomic.Bool{}
	prepareMember = func(m *Member[int]) { full[m] = letDiskFill(m) }
	defer func() { prepareMember = nil }()
	all, _ := formCluster(t, 3)
	var old *daemon
	waitFor(t, "a leader", func() bool { old = leaderOf(all); return old != nil })
	m := old.member
	full[m].Store(true)
	if _, err := m.Node().Propose(t.Context(), []byte("x")); err == nil {
		t.Error("a proposal that was not written was acknowledged")
	}
	if _, leads := m.Lease(); leads || m.IsLeader() {
		t.Error("member leads although its disk is full")
	}
	waitFor(t, "the failed member knows another leader", func() bool {
		next := leaderOf(all)
		return next != nil && m.Leader() == next.name && next != old
	})
	if testutil.ToFloat64(m.cfg.Metrics.StorageFailed) != 1 {
		t.Error("metric does not show the failure")
	}
	next := leaderOf(all)
	for range 20 {
		if _, err := next.member.Node().Propose(t.Context(), []byte("y")); err != nil {
			t.Fatal(err)
		}
	}
	full[m].Store(false)
	want := next.member.Node().Status().Applied
	waitFor(t, "the member has caught up", func() bool {
		s := m.Node().Status()
		return !s.Stopped && s.Applied >= want
	})
	waitFor(t, "metric is reset", func() bool { return testutil.ToFloat64(m.cfg.Metrics.StorageFailed) == 0 })
	for _, d := range all {
		if d != old && d != next {
			d.stop()
			<-d.ended
		}
	}
	if _, err := next.member.Node().Propose(t.Context(), []byte("z")); err != nil {
		t.Errorf("proposal that needs the vote of the recovered member: %v", err)
	}
	select {
	case err := <-old.ended:
		t.Errorf("Run returned: %v", err)
	default:
	}
}

// TestMemberStopsWhileDiskIsFull stops a member whose disk is full: that is no
// failure of the process.
func TestMemberStopsWhileDiskIsFull(t *testing.T) {
	full := map[*Member[int]]*atomic.Bool{}
	prepareMember = func(m *Member[int]) { full[m] = letDiskFill(m) }
	defer func() { prepareMember = nil }()
	all, _ := formCluster(t, 3)
	waitFor(t, "a leader", func() bool { return leaderOf(all) != nil })
	d := all[0]
	full[d.member].Store(true)
	waitFor(t, "the storage has failed", func() bool {
		if leader := leaderOf(all); leader != nil {
			_, _ = leader.member.Node().Propose(t.Context(), []byte("x")) // a write for every member
		}
		return testutil.ToFloat64(d.member.cfg.Metrics.StorageFailed) == 1
	})
	d.stop()
	if err := <-d.ended; err != nil {
		t.Errorf("Run returned: %v", err)
	}
}
