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
		t.Fatalf("unexpected answer %+v", call)
	}

	ctx, hangUp := context.WithCancel(context.Background())
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
	hangUp()
	<-gone
	waitFor(t, func() bool { return instance.Busy() == 0 })

	if _, err := http.Post(server.URL+"/confirm", "text/plain", strings.NewReader("crash-upstream")); err == nil {
		t.Fatal("a crashed service answered")
	}
	if instance.Alive() || len(instance.Calls()) != 3 {
		t.Fatalf("alive %v after the crash, calls %+v", instance.Alive(), instance.Calls())
	}
}

// waitFor waits until a condition holds that must come to hold.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not come to hold")
		}
	}
}
