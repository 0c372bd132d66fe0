package standin

import "sync"

// TeamMeter counts the requests of each team that run at once over all
// endpoints that share it. A nil meter counts nothing.
type TeamMeter struct {
	mu      sync.Mutex
	running map[string]int
	peak    map[string]int
}

// NewTeamMeter returns a meter at zero.
func NewTeamMeter() *TeamMeter {
	return &TeamMeter{running: make(map[string]int), peak: make(map[string]int)}
}

// Peak returns the most requests of a team that ran at once.
func (m *TeamMeter) Peak(team string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak[team]
}

// Reset starts the peaks anew from what runs now.
func (m *TeamMeter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak = make(map[string]int)
	for team, n := range m.running {
		m.peak[team] = n
	}
}

func (m *TeamMeter) start(team string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[team]++
	m.peak[team] = max(m.peak[team], m.running[team])
}

func (m *TeamMeter) end(team string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[team]--
}
