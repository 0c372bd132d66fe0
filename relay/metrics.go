package relay

import "github.com/prometheus/client_golang/prometheus"

// Values of the path label.
const (
	pathAgent  = "agent"
	pathDirect = "direct"
)

// Metrics holds the metrics of a Relay.
type Metrics struct {
	// Orders counts orders by path and outcome.
	Orders *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliastand_relay_orders_total", Help: "Orders to workers by path and outcome."}, []string{"path", "outcome"})}
	r.MustRegister(m.Orders)
	return m
}

// count counts an order that was sent through agent, or directly if agent is nil.
func (m *Metrics) count(agent *agentLink, out *outcome) {
	path := pathAgent
	if agent == nil {
		path = pathDirect
	}
	m.Orders.WithLabelValues(path, out.Failure.String()).Inc()
}
