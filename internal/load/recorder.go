package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range in microseconds and precision of the histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Recorder collects the results of concurrent requests.
type Recorder struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	summary    Summary
}

// Quantiles holds quantiles of a latency in milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	Median float64 `json:"median_ms"`
	P95    float64 `json:"p95_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p99_9_ms"`
	Max    float64 `json:"max_ms"`
}

// Summary summarizes the results of a run.
type Summary struct {
	Offered    int64             `json:"offered"`
	Answered   int64             `json:"answered"`
	Tokens     int64             `json:"tokens"`
	Retries    int64             `json:"retries"`
	Seconds    float64           `json:"seconds"`
	FirstToken Quantiles         `json:"first_token"`
	Gap        Quantiles         `json:"gap"`
	Total      Quantiles         `json:"total"`
	Outcomes   map[Outcome]int64 `json:"outcomes"`
	Reasons    map[string]int64  `json:"reasons"` // requests that were not answered, by "outcome: reason"
}

// NewRecorder creates an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		firstToken: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		gap:        hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		total:      hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		summary:    Summary{Outcomes: map[Outcome]int64{}, Reasons: map[string]int64{}},
	}
}

// Record adds a result. Only the times of answered requests are recorded.
func (r *Recorder) Record(result *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Offered++
	r.summary.Tokens += int64(result.Tokens)
	r.summary.Retries += int64(result.Retries)
	r.summary.Outcomes[result.Outcome]++
	if result.Outcome != Answered {
		r.summary.Reasons[string(result.Outcome)+": "+result.Reason]++
		return
	}
	r.summary.Answered++
	record(r.total, result.Total)
	if result.Tokens > 0 {
		record(r.firstToken, result.FirstToken)
	}
	for _, gap := range result.Gaps {
		record(r.gap, gap)
	}
}

// record adds a time, limited to the range of the histogram.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	micros := min(max(value.Microseconds(), lowestMicros), highestMicros)
	_ = histogram.RecordValue(micros)
}

// Finish records the length of the run.
func (r *Recorder) Finish(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Seconds = length.Seconds()
}

// Summary returns a summary of the results so far.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := r.summary
	summary.FirstToken = quantiles(r.firstToken)
	summary.Gap = quantiles(r.gap)
	summary.Total = quantiles(r.total)
	return summary
}

// FirstTokenCurve returns the time to the first token in milliseconds at the given
// percentiles, from 0 to 100.
func (r *Recorder) FirstTokenCurve(at []float64) []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	curve := make([]float64, len(at))
	for i, quantile := range at {
		curve[i] = millis(r.firstToken.ValueAtQuantile(quantile))
	}
	return curve
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count:  histogram.TotalCount(),
		Median: millis(histogram.ValueAtQuantile(50)),
		P95:    millis(histogram.ValueAtQuantile(95)),
		P99:    millis(histogram.ValueAtQuantile(99)),
		P999:   millis(histogram.ValueAtQuantile(99.9)),
		Max:    millis(histogram.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
