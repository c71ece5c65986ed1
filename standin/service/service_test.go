package service_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"slateway.example/slateway/standin/service"
)

func TestCallsAreCountedAndFinishedWithoutTheirCaller(t *testing.T) {
	options := service.Defaults()
	options.Name = "plates"
	instance := service.New(options)
	server := httptest.NewServer(instance)
	defer server.Close()

	response, err := http.Post(server.URL+"/confirm?plate=7", "text/plain", strings.NewReader("seven"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var call service.Call
	if err := json.NewDecoder(response.Body).Decode(&call); err != nil {
		t.Fatal(err)
	}
	if call.Service != "plates" || call.Run != 1 || call.Path != "/confirm?plate=7" || call.Body != "seven" {
		t.Fatalf("unexpected response %+v", call)
	}

	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/confirm", nil)
	if err != nil {
		t.Fatal(err)
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	waitFor(t, func() bool { return len(instance.Calls()) == 2 })
	disconnect()
	<-gone
	waitFor(t, func() bool { return instance.ActiveRequests() == 0 })

	if _, err := http.Post(server.URL+"/confirm", "text/plain", strings.NewReader("crash-upstream")); err == nil {
		t.Fatal("a crashed service answered")
	}
	if instance.Alive() || len(instance.Calls()) != 3 {
		t.Fatalf("after the crash: alive %v, want false; calls %+v, want 3", instance.Alive(), instance.Calls())
	}
}

// waitFor waits until condition returns true, and fails the test after a minute.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met within a minute")
		}
	}
}
