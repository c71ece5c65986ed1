package load_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"slateway.example/slateway/internal/load"
	"slateway.example/slateway/standin/engine"
)

func TestArrivalsFollowTheSeedTheRateAndTheBurst(t *testing.T) {
	profile := load.Profile{
		Rate:   1000,
		Length: 10 * time.Second,
		Bursts: []load.Burst{{At: 4 * time.Second, For: 2 * time.Second, Factor: 5}},
	}
	arrivals := profile.Arrivals(rand.New(rand.NewPCG(7, 0)))
	if !slices.Equal(arrivals, profile.Arrivals(rand.New(rand.NewPCG(7, 0)))) {
		t.Fatal("the same seed produced different arrivals")
	}
	if !slices.IsSorted(arrivals) {
		t.Fatal("arrivals are not sorted")
	}
	count := map[bool]float64{}
	for _, at := range arrivals {
		count[at >= 4*time.Second && at < 6*time.Second]++
	}
	// Expects 8,000 outside and 10,000 inside the burst, within six standard deviations.
	if math.Abs(count[false]-8000) > 540 || math.Abs(count[true]-10000) > 600 {
		t.Fatalf("%v arrivals by whether they are in the burst, want about 8000 outside and 10000 inside", count)
	}
}

// Latencies must count from the intended arrival. If they counted from when a request was
// actually sent, a stall would not show in the latencies of the requests that it delays.
func TestTimesCountFromTheIntendedArrival(t *testing.T) {
	const stall = 200 * time.Millisecond
	answerNow := func(_ context.Context, intended time.Time, _ *load.Request) load.Result {
		return load.Result{Outcome: load.Answered, Tokens: 1, FirstToken: time.Since(intended), Total: time.Since(intended)}
	}
	arrivals := []time.Duration{-stall, -stall, -stall}
	summary := load.OpenLoop(context.Background(), arrivals, make([]load.Request, 3), 10, answerNow).Summary()
	if summary.Answered != 3 || summary.FirstToken.Median < 200 {
		t.Fatalf("%+v", summary)
	}
}

func TestRequestsBeyondTheLimitAreCountedAndNotSent(t *testing.T) {
	send := func(context.Context, time.Time, *load.Request) load.Result {
		t.Error("a request over the limit was sent")
		return load.Result{}
	}
	summary := load.OpenLoop(context.Background(), make([]time.Duration, 5), make([]load.Request, 5), 0, send).Summary()
	if summary.Offered != 5 || summary.Outcomes[load.NotSent] != 5 {
		t.Fatalf("%+v", summary)
	}
}

func TestOutcomesTellWholeWrongCutOffAndRefusedAnswersApart(t *testing.T) {
	options := engine.Defaults()
	options.FirstToken = 0
	options.TokenEvery = 0
	instance := httptest.NewServer(engine.New(options))
	defer instance.Close()
	// Whether a crashing engine dies before or after its status line is a race, so each
	// case has a server of its own.
	closing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer closing.Close()
	cutting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer cutting.Close()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"error":{"message":"full","reason":"queue_full"}}`))
	}))
	defer refusing.Close()

	ownAnswer := func(request *load.Request, text string) bool {
		return text == engine.Answer(request.Prompt, request.MaxTokens)
	}
	never := func(*load.Request, string) bool { return false }
	cases := []struct {
		name    string
		client  *load.Client
		prompt  string
		outcome load.Outcome
		reason  string
	}{
		{"whole", load.NewClient([]string{instance.Listener.Addr().String()}, "", ownAnswer), "x", load.Answered, ""},
		{"wrong", load.NewClient([]string{instance.Listener.Addr().String()}, "", never), "x", load.Wrong, "another answer"},
		{"refused", load.NewClient([]string{refusing.Listener.Addr().String()}, "", nil), "x", load.Refused, "queue_full"},
		{"no gate", load.NewClient([]string{"127.0.0.1:1", "127.0.0.1:2"}, "", nil), "x", load.Failed, "dial error"},
		{"closed", load.NewClient([]string{closing.Listener.Addr().String()}, "", nil), "x", load.Failed, "connection closed"},
		{"cut off", load.NewClient([]string{cutting.Listener.Addr().String()}, "", nil), "x", load.CutOff, "connection closed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := load.Request{Model: "small", Prompt: c.prompt, MaxTokens: 4}
			result := c.client.Stream(context.Background(), time.Now(), &request)
			if result.Outcome != c.outcome || result.Reason != c.reason {
				t.Fatalf("%+v", result)
			}
			if c.outcome == load.Answered && (result.Tokens != 4 || len(result.Gaps) != 3 || result.FirstToken <= 0) {
				t.Fatalf("%+v", result)
			}
		})
	}
}
