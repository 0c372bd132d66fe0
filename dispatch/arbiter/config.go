package arbiter

import (
	"time"

	"magnoliastand.example/api"
)

// Defaults for optional fields of the fleet document.
const (
	defaultMaxWait    = 10 * time.Second
	defaultMaxQueued  = 1024
	defaultLongestRun = 30 * time.Second
)

// Config is the part of the fleet document that the arbiter uses. It is
// immutable.
type Config struct {
	services map[string]serviceConfig
	queues   map[string]queueConfig
	teams    map[string]teamConfig
}

type serviceConfig struct {
	slots      int
	longestRun time.Duration
	hasQuick   bool
	hasLong    bool
}

type queueConfig struct {
	service   string
	open      bool
	class     api.Class
	maxWait   time.Duration
	maxQueued int
}

type teamConfig struct {
	share float64
}

// NewConfig extracts the arbiter's configuration from a valid document.
func NewConfig(doc api.Document) *Config {
	c := &Config{
		services: make(map[string]serviceConfig, len(doc.Services)),
		queues:   make(map[string]queueConfig),
		teams:    make(map[string]teamConfig, len(doc.Teams)),
	}
	for _, s := range doc.Services {
		c.addService(s)
	}
	for _, t := range doc.Teams {
		c.teams[t.Name] = teamConfig{share: float64(t.Share)}
	}
	return c
}

func (c *Config) addService(s api.Service) {
	sc := serviceConfig{
		slots:      s.SlotsPerEndpoint,
		longestRun: orDefault(s.LongestRun.Std(), defaultLongestRun),
	}
	for _, q := range s.Queues {
		qc := queueConfig{
			service:   s.Name,
			open:      q.Open,
			class:     orDefault(q.Class, api.ClassQuick),
			maxWait:   orDefault(q.MaxWait.Std(), defaultMaxWait),
			maxQueued: orDefault(q.MaxQueued, defaultMaxQueued),
		}
		sc.hasQuick = sc.hasQuick || qc.class == api.ClassQuick
		sc.hasLong = sc.hasLong || qc.class == api.ClassLong
		c.queues[q.Name] = qc
	}
	c.services[s.Name] = sc
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
