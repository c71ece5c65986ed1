package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a replica of a model service. It admits requests in order of
// arrival, runs at most slots of them at once and refuses more than queue waiting ones.
type engine struct {
	site      *site
	service   string
	zone      string
	address   string
	slots     int
	events    int           // of each stream
	eventSize int           // bytes of the data of an event
	interval  time.Duration // between two events

	mu       sync.Mutex
	boot     int
	id       string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]struct{}
	places   chan struct{}
	runs     map[string][]run // by request ID
	running  int
	worked   time.Time // last event of any run
}

// run is one run of a request.
type run struct {
	after int // Last-Event-Id that it was asked with
	made  int // last event that it made
}

func newEngine(s *site, service string, number, slots int) *engine {
	return &engine{
		site: s, service: service, zone: homeZone, address: fmt.Sprintf("%s.%d:8080", s.network, 100+number), slots: slots,
		events: 30, eventSize: 20, interval: 20 * time.Millisecond, runs: map[string][]run{},
	}
}

// up starts a boot of the engine.
func (e *engine) up() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.boot++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.address, ":", "-"), e.boot)
	e.born, e.sequence = time.Now().UnixMilli(), 0
	e.listener, e.conns, e.places = listener, map[net.Conn]struct{}{}, make(chan struct{}, e.slots)
	e.mu.Unlock()
	go e.accept(listener)
	return nil
}

// down ends the boot with all of its channels.
func (e *engine) down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.listener = nil
}

func (e *engine) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go func() {
			e.serve(c)
			_ = c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

func (e *engine) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(c, reader, request) {
			return
		}
	}
}

// answer answers a request and reports whether the channel stays open.
func (e *engine) answer(c net.Conn, reader *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get("Slateway-Request-Id")
	e.mu.Lock()
	self, born, places, waiting := e.id, e.born, e.places, e.running-e.slots
	e.mu.Unlock()
	reply := func(status, head, body string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nSlateway-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, head, len(body), body)
	}
	switch {
	case request.URL.Path == "/report":
		reply("200 OK", "Content-Type: application/json\r\n", fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":%d,"kv_cache_used":0,"kv_cache_total":100000,"handles":0,"born":%d}`, max(0, waiting+e.slots), born))
		return true
	case request.URL.Path == "/health":
		reply("200 OK", "Slateway-Instance-Id: "+self+"\r\n", "")
		return true
	case request.Header.Get(wire["expected_replica"]) != "" && request.Header.Get(wire["expected_replica"]) != self:
		reply("421 Misdirected Request", wire["not_run"]+": 1\r\n", "")
		return true
	case id == "":
		reply("400 Bad Request", wire["not_run"]+": 1\r\n", "")
		return true
	case strings.HasPrefix(request.URL.Path, "/kv-"):
		reply("404 Not Found", "", "")
		return true
	case waiting >= 24:
		reply("503 Service Unavailable", wire["not_run"]+": 1\r\n", "")
		return true
	}
	e.count(1)
	defer e.count(-1)
	// The caller's close ends the request, also while it waits.
	gone := make(chan struct{})
	go func() {
		_, _ = reader.Peek(1)
		close(gone)
	}()
	select {
	case places <- struct{}{}:
	case <-gone:
		return false
	}
	defer func() { <-places }()
	return e.stream(c, gone, id, request)
}

func (e *engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

// load returns the number of requests that run or wait.
func (e *engine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// lastWork returns when a run last made an event.
func (e *engine) lastWork() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.worked
}

func eventText(id string, n, size int) string {
	text := fmt.Sprintf("%s/%d ", id, n)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

func (e *engine) stream(c net.Conn, gone <-chan struct{}, id string, request *http.Request) bool {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], run{after: after, made: after})
	number := len(e.runs[id]) - 1
	e.mu.Unlock()
	e.site.record.line("%s: run %s after %d", e.address, id, after)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSlateway-Request-Id: %s\r\n%s: s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", id, wire["signature"], id)
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-gone:
			return false
		case <-time.After(e.interval):
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(id, n, e.eventSize))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		e.mu.Lock()
		e.runs[id][number].made, e.worked = n, time.Now()
		e.mu.Unlock()
	}
	// The channel is not used again, since the watch for its end reads from it.
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
	return false
}

// ping sends pings until ctx ends, to another control machine whenever one isn't acknowledged.
func (e *engine) ping(ctx context.Context) {
	next := 0
	controls := e.site.of("control")
	for ctx.Err() == nil {
		e.mu.Lock()
		up := e.listener != nil
		e.sequence++
		id := e.id
		body, err := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
			"cold_remaining_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
			"sequence": e.sequence, "born": e.born,
		})
		e.mu.Unlock()
		if up && err == nil {
			limited, cancel := context.WithTimeout(ctx, time.Second)
			status, _ := call(limited, http.MethodPost, "http://"+controls[next%len(controls)].control()+fmt.Sprintf(wire["ping"], id), nil, bytes.NewReader(body))
			cancel()
			if status != http.StatusOK {
				next++
			}
		}
		pause(ctx, 500*time.Millisecond)
	}
}
