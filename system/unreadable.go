package system

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
)

// unreadableLogInterval is the minimum interval between log lines on one source of
// input that can't be read. The metric counts all of it.
const unreadableLogInterval = 5 * time.Second

// unreadableLog counts and logs input of others that can't be read and is left out.
// It is safe for concurrent use.
type unreadableLog struct {
	log   zerolog.Logger
	total *prometheus.CounterVec

	mu      sync.Mutex
	nextLog map[string]time.Time
}

func newUnreadableLog(registry prometheus.Registerer, log zerolog.Logger) *unreadableLog {
	u := &unreadableLog{
		log: log, nextLog: map[string]time.Time{},
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliastand_unreadable_entries_total", Help: "Entries and announcements of others that could not be read, by source."},
			[]string{"source"}),
	}
	registry.MustRegister(u.total)
	return u
}

// add records entries of a source, which is one of a fixed set, and the error of
// the first one.
func (u *unreadableLog) add(source string, entries int, first error) {
	u.total.WithLabelValues(source).Add(float64(entries))
	now := clock.Now()
	u.mu.Lock()
	due := now.After(u.nextLog[source])
	if due {
		u.nextLog[source] = now.Add(unreadableLogInterval)
	}
	u.mu.Unlock()
	if due {
		u.log.Warn().Err(first).Str("source", source).Int("entries", entries).Msg("unreadable entries left out")
	}
}
