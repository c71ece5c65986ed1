package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a sound replica. It runs at most slots requests at once and rejects the others as
// full. It reports each run as a line of JSON on its standard output.
type replica struct {
	id, service, address, zone string
	engine                     bool
	slots                      int
	pieces                     int           // events of a stream, or parts of another answer
	pause                      time.Duration // after each of them
	controls                   []string
	born                       int64

	mu       sync.Mutex
	running  int
	sequence int
}

// runEvent is a line that a replica prints.
type runEvent struct {
	Replica string `json:"replica"`
	Event   string `json:"event"` // begins, half, ends, dropped
	Request string `json:"request"`
	Path    string `json:"path"`
	After   int    `json:"after,omitempty"`
}

const (
	pingInterval = 1200 * time.Millisecond
	pingTimeout  = time.Second
)

func runReplica(arguments []string) {
	r := &replica{born: time.Now().UnixMilli()}
	var controls string
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	flags.StringVar(&r.id, "id", "", "instance ID")
	flags.StringVar(&r.service, "service", "", "service")
	flags.StringVar(&r.address, "address", "", "IP:port")
	flags.StringVar(&r.zone, "zone", "", "zone")
	flags.BoolVar(&r.engine, "engine", false, "a model engine, which answers with streams")
	flags.IntVar(&r.slots, "slots", 4, "requests at once")
	flags.IntVar(&r.pieces, "pieces", 10, "events of a stream or parts of an answer")
	flags.DurationVar(&r.pause, "pause", 20*time.Millisecond, "pause after each of them")
	flags.StringVar(&controls, "controls", "", "control addresses, separated by commas")
	_ = flags.Parse(arguments)
	r.controls = strings.Split(controls, ",")
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go r.ping()
	_ = http.Serve(listener, r)
}

// ping sends a heartbeat in each interval, to the next node after a failure.
func (r *replica) ping() {
	client := &http.Client{Timeout: pingTimeout}
	next := ""
	for i := 0; ; time.Sleep(pingInterval) {
		r.sequence++
		body := pingBody(r.service, r.address, r.zone, r.slots, r.sequence, r.born, r.engine)
		for range len(r.controls) {
			control := r.controls[i%len(r.controls)]
			if next != "" {
				control = next
			}
			answer, err := client.Post("http://"+control+fmt.Sprintf(wire["ping"], r.id), "application/json", bytes.NewReader(body))
			if err == nil && answer.StatusCode == http.StatusOK {
				var told map[string]any
				_ = json.NewDecoder(answer.Body).Decode(&told)
				_ = answer.Body.Close()
				next, _ = told[wire["next_ping"]].(string)
				break
			}
			if err == nil {
				_ = answer.Body.Close()
			}
			next = ""
			i++
		}
	}
}

func pingBody(service, address, zone string, slots, sequence int, born int64, engine bool) []byte {
	fields := map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": born,
	}
	if engine {
		fields["stage"] = "both"
		fields["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return body
}

func (r *replica) print(event string, request *http.Request, after int) {
	line, _ := json.Marshal(runEvent{Replica: r.id, Event: event, Request: request.Header.Get(wire["request_id"]), Path: request.URL.Path, After: after})
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	switch request.URL.Path {
	case "/health":
		header.Set(wire["replica_id"], r.id)
		return
	case "/report":
		header.Set("Content-Type", "application/json")
		r.mu.Lock()
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":%d,"kv_cache_used":0,"kv_cache_total":100000,"handles":0,"born":%d}`, r.running, r.born)
		r.mu.Unlock()
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	header.Set(wire["request_id"], request.Header.Get(wire["request_id"]))
	if expected := request.Header.Get(wire["expected_replica"]); expected != "" && expected != r.id {
		header.Set(wire["replica_id"], r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	load, admitted := r.admit()
	header.Set(wire["load"], load)
	if !admitted {
		header.Set(wire["not_run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.release()
	header.Set(wire["signature"], "signed-by-"+r.id)
	after, _ := strconv.Atoi(request.Header.Get(wire["last_event"]))
	r.print("begins", request, after)
	finished := false
	if r.engine {
		finished = r.stream(w, request, after)
	} else {
		finished = r.answerWithoutLength(w, request)
	}
	if finished {
		r.print("ends", request, after)
	} else {
		r.print("dropped", request, after)
	}
}

func (r *replica) admit() (load string, admitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if admitted = r.running < r.slots; admitted {
		r.running++
	}
	return fmt.Sprintf("%d,0,%d", r.running, r.slots), admitted
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// stream answers with events. It drops the request when the channel closes.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, after int) (finished bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire["weights"], "1")
	controller := http.NewResponseController(w)
	for n := after + 1; n <= r.pieces; n++ {
		time.Sleep(r.pause)
		if request.Context().Err() != nil {
			return false
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(request.Header.Get(wire["request_id"]), n))
		if controller.Flush() != nil {
			return false
		}
	}
	return true
}

// eventText is the data of an event.
func eventText(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }

// partText is a part of an answer that is not a stream.
func partText(id string, n int) string { return fmt.Sprintf("%s part %03d\n", id, n) }

// answerWithoutLength sends an answer that has no length and ends with its channel.
func (r *replica) answerWithoutLength(w http.ResponseWriter, request *http.Request) (finished bool) {
	id := request.Header.Get(wire["request_id"])
	header := w.Header()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n")
	for name := range header {
		fmt.Fprintf(conn, "%s: %s\r\n", name, header.Get(name))
	}
	fmt.Fprint(conn, "\r\n")
	for n := 1; n <= r.pieces; n++ {
		if _, err := io.WriteString(conn, partText(id, n)); err != nil {
			return false
		}
		if n == r.pieces/2 {
			r.print("half", request, 0)
		}
		time.Sleep(r.pause)
	}
	return true
}
