package telemetry

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// longestLatency is the largest value of a histogram; longer ones count as it.
const longestLatency = time.Hour

const significantDigits = 3

func newLatencyHistogram() metrics.Histogram {
	return &latencyHistogram{values: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
}

// latencyHistogram is a metrics.Histogram that counts every value, in µs. The
// library's own histograms keep a random choice of values, which loses the tail
// that the 99.9th percentile is read from.
type latencyHistogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
	sum    int64
}

// Clear forgets all values.
func (h *latencyHistogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values.Reset()
	h.sum = 0
}

// Update records a value in µs.
func (h *latencyHistogram) Update(value int64) {
	value = min(max(value, 0), longestLatency.Microseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += value
	_ = h.values.RecordValue(value) // fails only outside the bounds set above
}

// Snapshot copies the histogram.
func (h *latencyHistogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := newHistogram()
	copied.Merge(h.values)
	return &latencyHistogram{values: copied, sum: h.sum}
}

// Percentile gives the value at p, from 0 to 1.
func (h *latencyHistogram) Percentile(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.values.ValueAtPercentile(p * 100))
}

// Percentiles gives the values at each p, from 0 to 1.
func (h *latencyHistogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = h.Percentile(p)
	}
	return values
}

// Count gives the number of values.
func (h *latencyHistogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.TotalCount()
}

// Sum gives the sum of all values.
func (h *latencyHistogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Max gives the largest value.
func (h *latencyHistogram) Max() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.Max()
}

// Min gives the smallest value.
func (h *latencyHistogram) Min() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.Min()
}

// Mean gives the mean.
func (h *latencyHistogram) Mean() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.Mean()
}

// StdDev gives the standard deviation.
func (h *latencyHistogram) StdDev() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.StdDev()
}

// Variance gives the square of the standard deviation.
func (h *latencyHistogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }

// Sample gives none: the histogram keeps counts, not single values.
func (h *latencyHistogram) Sample() metrics.Sample { return metrics.NilSample{} }
