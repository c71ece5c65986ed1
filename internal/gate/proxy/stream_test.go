package proxy_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"slateway.example/slateway/internal/gate/proxy"
	"slateway.example/slateway/internal/upstream"
	"slateway.example/slateway/standin/engine"
)

// BenchmarkStreams measures the processor time per token at several numbers of
// concurrent streams. The process includes the engine and the caller, so that the
// cost of the gate is the difference to the run without it (direct).
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{1, 32, 256} {
		for _, direct := range []bool{true, false} {
			b.Run(fmt.Sprintf("streams=%d/direct=%t", streams, direct), func(b *testing.B) {
				benchStreams(b, streams, direct)
			})
		}
	}
}

const benchTokens = 100

func benchStreams(b *testing.B, streams int, direct bool) {
	options := engine.Defaults()
	options.Slots, options.TokenEvery, options.FirstToken = streams, 5*time.Millisecond, time.Millisecond
	server := httptest.NewServer(engine.New(options))
	defer server.Close()
	router := proxy.New(proxy.Options{Self: "g1", Place: "glas-a"})
	defer router.Close()
	address := server.Listener.Addr().String()
	if err := router.Announce(upstream.Announcement{
		Service: "wordroom", Kind: upstream.KindEngine, Replica: "r1", Incarnation: 1, Sequence: 1,
		Address: address, Place: "glas-a", Load: upstream.Load{Slots: streams, Ready: true}, CanResume: true,
	}); err != nil {
		b.Fatal(err)
	}
	body := fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":%d,"prompt":"x"}`, benchTokens)
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		router.ServeOnline(w, r, proxy.OnlineRequest{
			ID: fmt.Sprint("q", lastID.Add(1)), Team: "council", Service: "wordroom", Path: proxy.PathCompletions,
			Body: []byte(body), Stream: true, Repeatable: true,
		})
	}))
	defer gate.Close()
	url := gate.URL
	if direct {
		url = server.URL
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	before := processorTime()
	b.ResetTimer()
	for range b.N {
		var asked sync.WaitGroup
		for range streams {
			asked.Go(func() { drain(b, client, url+proxy.PathCompletions, body) })
		}
		asked.Wait()
	}
	used := processorTime() - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*streams*benchTokens), "us-cpu/token")
}

func drain(b *testing.B, client *http.Client, url, body string) {
	response, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	buffer := make([]byte, 4096)
	for {
		if _, err := response.Body.Read(buffer); err != nil {
			return
		}
	}
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
