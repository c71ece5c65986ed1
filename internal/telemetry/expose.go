package telemetry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Snapshot holds the values of all metrics at one point in time.
type Snapshot struct {
	Counters   map[string]int64   `json:"counters"`
	Gauges     map[string]int64   `json:"gauges"`
	Histograms map[string]Latency `json:"histograms"`
}

// Latency summarizes one histogram; all durations are in µs.
type Latency struct {
	Count  int64   `json:"count"`
	SumUs  int64   `json:"sum_us"`
	MeanUs float64 `json:"mean_us"`
	P50Us  float64 `json:"p50_us"`
	P95Us  float64 `json:"p95_us"`
	P99Us  float64 `json:"p99_us"`
	P999Us float64 `json:"p999_us"`
	MaxUs  int64   `json:"max_us"`
}

// Snapshot returns the current values of all metrics.
func (m *Metrics) Snapshot() Snapshot {
	snapshot := Snapshot{Counters: map[string]int64{}, Gauges: map[string]int64{}, Histograms: map[string]Latency{}}
	m.registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			snapshot.Counters[name] = metric.Count()
		case metrics.Gauge:
			snapshot.Gauges[name] = metric.Value()
		case metrics.Histogram:
			snapshot.Histograms[name] = summarize(metric.Snapshot())
		}
	})
	return snapshot
}

func summarize(histogram metrics.Histogram) Latency {
	return Latency{
		Count:  histogram.Count(),
		SumUs:  histogram.Sum(),
		MeanUs: histogram.Mean(),
		P50Us:  histogram.Percentile(0.5),
		P95Us:  histogram.Percentile(0.95),
		P99Us:  histogram.Percentile(0.99),
		P999Us: histogram.Percentile(0.999),
		MaxUs:  histogram.Max(),
	}
}

// Handler serves the metrics as JSON, or as Prometheus text if the query has
// format=prometheus or the Accept header prefers text/plain.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wantsPrometheus(r) {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
			_ = m.Snapshot().writePrometheus(w) // fails only if the client has disconnected
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Snapshot()) // fails only if the client has disconnected
	})
}

// TextHandler serves the metrics as Prometheus text only.
func (m *Metrics) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = m.Snapshot().writePrometheus(w) // fails only if the client has disconnected
	})
}

func wantsPrometheus(r *http.Request) bool {
	if format := r.URL.Query().Get("format"); format != "" {
		return format == "prometheus"
	}
	accept := r.Header.Get("Accept")
	return strings.HasPrefix(accept, "text/plain") || strings.HasPrefix(accept, "application/openmetrics-text")
}

// writePrometheus writes the Prometheus text format. The reason of a refusal or
// retry becomes a label, so that a sum over all reasons needs no name pattern.
func (s Snapshot) writePrometheus(w io.Writer) error {
	var text strings.Builder
	written := map[string]bool{}
	for _, name := range sortedKeys(s.Counters) {
		series := prometheusCounter(name)
		family, _, _ := strings.Cut(series, "{")
		if !written[family] {
			fmt.Fprintf(&text, "# TYPE %s counter\n", family)
			written[family] = true
		}
		fmt.Fprintf(&text, "%s %d\n", series, s.Counters[name])
	}
	for _, name := range sortedKeys(s.Gauges) {
		family := prometheusName(name)
		fmt.Fprintf(&text, "# TYPE %s gauge\n%s %d\n", family, family, s.Gauges[name])
	}
	for _, name := range sortedKeys(s.Histograms) {
		writeSummary(&text, prometheusName(name)+"_seconds", s.Histograms[name])
	}
	_, err := io.WriteString(w, text.String())
	return err
}

const microsecondsPerSecond = 1e6

func writeSummary(text *strings.Builder, family string, latency Latency) {
	fmt.Fprintf(text, "# TYPE %s summary\n", family)
	quantiles := []struct {
		label string
		value float64
	}{{"0.5", latency.P50Us}, {"0.95", latency.P95Us}, {"0.99", latency.P99Us}, {"0.999", latency.P999Us}}
	for _, quantile := range quantiles {
		fmt.Fprintf(text, "%s{quantile=%q} %g\n", family, quantile.label, quantile.value/microsecondsPerSecond)
	}
	fmt.Fprintf(text, "%s_sum %g\n%s_count %d\n", family, float64(latency.SumUs)/microsecondsPerSecond, family, latency.Count)
}

func prometheusCounter(name string) string {
	for _, prefix := range []string{RefusedPrefix, RetriedPrefix} {
		if reason, ok := strings.CutPrefix(name, prefix); ok {
			return fmt.Sprintf("%s_total{reason=%q}", prometheusName(strings.TrimSuffix(prefix, ".")), reason)
		}
	}
	return prometheusName(name) + "_total"
}

func prometheusName(name string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
	return "slateway_" + clean
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
