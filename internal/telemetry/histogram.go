package telemetry

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// maxLatency is the largest value that a histogram records; longer durations
// are recorded as this value.
const maxLatency = time.Hour

const significantDigits = 3

func newLatencyHistogram() metrics.Histogram {
	return &latencyHistogram{values: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// latencyHistogram is a metrics.Histogram that counts every value, in µs. The
// histograms of the go-metrics library keep a random sample, which loses the tail
// that the 99.9th percentile depends on.
type latencyHistogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
	sum    int64
}

// Clear removes all values.
func (h *latencyHistogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values.Reset()
	h.sum = 0
}

// Update records a value in µs.
func (h *latencyHistogram) Update(value int64) {
	value = min(max(value, 0), maxLatency.Microseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += value
	_ = h.values.RecordValue(value) // fails only for values outside the range clamped to above
}

// Snapshot returns a copy of the histogram.
func (h *latencyHistogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := newHistogram()
	copied.Merge(h.values)
	return &latencyHistogram{values: copied, sum: h.sum}
}

// Percentile returns the value at percentile p, from 0 to 1.
func (h *latencyHistogram) Percentile(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.values.ValueAtPercentile(p * 100))
}

// Percentiles returns the values at the percentiles ps, each from 0 to 1.
func (h *latencyHistogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = h.Percentile(p)
	}
	return values
}

// Count returns the number of values.
func (h *latencyHistogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.TotalCount()
}

// Sum returns the sum of all values.
func (h *latencyHistogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Max returns the largest value.
func (h *latencyHistogram) Max() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.Max()
}

// Min returns the smallest value.
func (h *latencyHistogram) Min() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.Min()
}

// Mean returns the mean of all values.
func (h *latencyHistogram) Mean() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.Mean()
}

// StdDev returns the standard deviation.
func (h *latencyHistogram) StdDev() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values.StdDev()
}

// Variance returns the variance.
func (h *latencyHistogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }

// Sample returns an empty sample, because the histogram does not keep single values.
func (h *latencyHistogram) Sample() metrics.Sample { return metrics.NilSample{} }
