package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/storage"
)

const (
	// reopenBackoff is the delay before the storage is opened again after a
	// failed write. It doubles up to maxReopenBackoff, also if the storage fails
	// again within stableTime after it was opened.
	reopenBackoff    = 250 * time.Millisecond
	maxReopenBackoff = 2 * time.Second
	stableTime       = 10 * time.Second
	// maxStatusAge is the age of the log's status from which on its event loop
	// counts as blocked by a write: ten ticks, the shortest election timeout.
	maxStatusAge = 10 * logTick
	// slowSync is the average duration of a write above which a leader transfers
	// its leadership: every commit takes at least that long.
	slowSync = 100 * time.Millisecond
	// yieldInterval is the minimum time between two such transfers.
	yieldInterval = 5 * time.Second
)

func (m *Member[R]) storage() storage.Storage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disk
}

// awaitStorage waits until the storage can be opened and written again, or ctx
// ends. It returns an error if the files are damaged.
func (m *Member[R]) awaitStorage(ctx context.Context, cause error) error {
	failed := clock.Now()
	m.cfg.Metrics.StorageFailed.Set(1)
	m.cfg.Log.Error().Err(cause).Msg("storage failed: this daemon neither votes nor leads until the disk can be written again")
	if clock.Since(m.reopenedAt) > stableTime {
		m.reopenDelay = 0
	}
	for {
		m.reopenDelay = min(max(2*m.reopenDelay, reopenBackoff), maxReopenBackoff)
		select {
		case <-time.After(m.reopenDelay):
		case <-ctx.Done():
			return nil
		}
		disk, err := m.reopen()
		if err == nil {
			m.mu.Lock()
			m.disk = disk
			m.mu.Unlock()
			m.reopenedAt = clock.Now()
			m.cfg.Metrics.StorageFailed.Set(0)
			m.cfg.Log.Info().Dur("failed_for", clock.Since(failed)).Msg("storage works again: this daemon takes part in the log")
			return nil
		}
		if !errors.Is(err, storage.ErrIO) {
			return errors.Wrap(err, "open the storage after a failed write")
		}
		m.cfg.Log.Debug().Err(err).Msg("storage still fails")
	}
}

// isLogRunning reports whether the event loop of the log is running and not
// blocked, so that its view of the leader is current.
func (m *Member[R]) isLogRunning() bool {
	started := m.Node()
	if started == nil {
		return false
	}
	s := started.Status()
	return !s.Stopped && s.Age < maxStatusAge
}

// searchLeader asks other daemons for the leader while this daemon's own log is
// not running, until ctx ends.
func (m *Member[R]) searchLeader(ctx context.Context) {
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for {
		if !m.isLogRunning() {
			m.finder.AddSeeds(m.Members())
			m.finder.refresh(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// yieldOnSlowDisk transfers leadership away from a daemon with a slow disk.
func (m *Member[R]) yieldOnSlowDisk(ctx context.Context) {
	s := m.Node().Status()
	if s.Role != consensus.Leader || s.SyncLatency < slowSync || clock.Since(m.yieldedAt) < yieldInterval {
		return
	}
	m.yieldedAt = clock.Now()
	m.cfg.Log.Warn().Dur("sync", s.SyncLatency).Msg("writes to the disk are slow: transferring leadership")
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.TransferLeadership(ctx)
}
