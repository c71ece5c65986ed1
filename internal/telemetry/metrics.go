package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"slateway.example/slateway/internal/apierr"
)

// Prefixes of the counters that exist once for each reason.
const (
	RefusedPrefix = "refused."
	RetriedPrefix = "retried."
)

// Metrics holds the counters, gauges and latency histograms of one daemon. It is
// safe for concurrent use. A metric is created at its first use.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Count adds 1 to the counter.
func (m *Metrics) Count(name string) { m.Add(name, 1) }

// Add adds n to the counter.
func (m *Metrics) Add(name string, n int64) { m.counter(name).Inc(n) }

// Refused counts a refusal under its reason.
func (m *Metrics) Refused(reason apierr.Reason) { m.Count(RefusedPrefix + string(reason)) }

// Retried counts a retry under the reason for which the previous attempt failed.
func (m *Metrics) Retried(reason apierr.Reason) { m.Count(RetriedPrefix + string(reason)) }

// Set sets the gauge to value.
func (m *Metrics) Set(name string, value int64) {
	m.registry.GetOrRegister(name, metrics.NewGauge).(metrics.Gauge).Update(value)
}

// Observe records a duration in the histogram, with a resolution of 1 µs and
// three significant digits.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.registry.GetOrRegister(name, newLatencyHistogram).(metrics.Histogram).Update(d.Microseconds())
}

// Value returns the value of a counter, 0 if it was never used.
func (m *Metrics) Value(name string) int64 {
	counter, ok := m.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

func (m *Metrics) counter(name string) metrics.Counter {
	return m.registry.GetOrRegister(name, metrics.NewCounter).(metrics.Counter)
}
