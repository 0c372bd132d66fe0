package relay

import "github.com/prometheus/client_golang/prometheus"

// Paths of orders, as labels.
const (
	pathAgent  = "agent"
	pathDirect = "direct"
)

// Metrics counts the orders of a process's Relay.
type Metrics struct {
	// Orders counts by path and outcome.
	Orders *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliastand_relay_orders_total", Help: "Orders to workers by path and outcome."}, []string{"path", "outcome"})}
	r.MustRegister(m.Orders)
	return m
}

// count counts an order that went through an agent, or directly for nil.
func (m *Metrics) count(agent *agentLink, out *outcome) {
	path := pathAgent
	if agent == nil {
		path = pathDirect
	}
	m.Orders.WithLabelValues(path, out.Failure.String()).Inc()
}
