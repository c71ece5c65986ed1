package telemetry_test

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"slateway.example/slateway/internal/telemetry"
)

func TestMetricsAreServedInBothFormats(t *testing.T) {
	g := NewWithT(t)
	metrics := telemetry.NewMetrics()
	metrics.Refused("unknown_model")
	metrics.Refused("unknown_model")
	metrics.Retried("dial_failed")
	metrics.Set("queue", 7)
	for i := 1; i <= 1000; i++ {
		metrics.Observe("first_token", time.Duration(i)*time.Millisecond)
	}
	metrics.Observe("first_token", 24*time.Hour) // above the largest value: recorded as the largest

	var snapshot telemetry.Snapshot
	g.Expect(json.Unmarshal([]byte(get(t, metrics, "/metrics")), &snapshot)).To(Succeed())
	g.Expect(snapshot.Counters).To(HaveKeyWithValue("refused.unknown_model", int64(2)))
	g.Expect(snapshot.Histograms["first_token"].Count).To(Equal(int64(1001)))
	g.Expect(snapshot.Histograms["first_token"].P99Us).To(BeNumerically("~", 991_000, 2_000))

	text := get(t, metrics, "/metrics?format=prometheus")
	g.Expect(text).To(ContainSubstring("# TYPE slateway_refused_total counter\nslateway_refused_total{reason=\"unknown_model\"} 2\n"))
	g.Expect(text).To(ContainSubstring("slateway_retried_total{reason=\"dial_failed\"} 1\n"))
	g.Expect(text).To(ContainSubstring("slateway_queue 7\n"))
	g.Expect(text).To(ContainSubstring("slateway_first_token_seconds_count 1001\n"))
}

func get(t *testing.T, metrics *telemetry.Metrics, target string) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", target, nil))
	body, err := io.ReadAll(recorder.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func TestLoggerRefusesUnknownLevelAndFormat(t *testing.T) {
	g := NewWithT(t)
	_, err := telemetry.NewLogger("loud", "json")
	g.Expect(err).To(MatchError(ContainSubstring(`log level "loud"`)))
	_, err = telemetry.NewLogger("info", "xml")
	g.Expect(err).To(MatchError(ContainSubstring(`log format "xml"`)))
	_, err = telemetry.NewLogger("debug", "console")
	g.Expect(err).NotTo(HaveOccurred())
}
