package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const host = "news.example"

// fresh opens a new channel for each call, as clients of batch jobs do.
var fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call sends a call and returns the status and body of its answer; status 0 is no answer.
func call(ctx context.Context, method, url string, header map[string]string, body io.Reader) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := fresh.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// configure sends the desired state until it is acknowledged.
func (s *site) configure(ctx context.Context, document string) error {
	controls := s.of("control")
	for i := 0; ; i++ {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		status, _ := call(limited, http.MethodPost, "http://"+controls[i%len(controls)].control()+wire["replace_configuration"], nil, strings.NewReader(document))
		cancel()
		if status == http.StatusOK {
			s.record.line("desired state acknowledged")
			return nil
		}
		if !pause(ctx, 200*time.Millisecond) {
			return fmt.Errorf("the desired state was not acknowledged, last status %d", status)
		}
	}
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// job is a batch job that a client sends.
type job struct {
	id    string
	items []item
	body  []byte
}

// newJob returns a batch job of the given number of items, each with a body of bytes.
func newJob(id string, items, bytes int) *job {
	j := &job{id: id}
	body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("b", bytes)))
	for i := range items {
		j.items = append(j.items, item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: fmt.Sprintf("/jobs/%s/%d", id, i),
			Headers: map[string]string{wire["model"]: "m", wire["usage"]: "350,240", wire["prompt"]: fmt.Sprintf("%s%x:350", hexID(id), i+1)},
			Body:    body, Tokens: 590,
		})
	}
	data, err := json.Marshal(map[string]any{"items": j.items})
	if err != nil {
		panic(err) // cannot happen: plain values
	}
	j.body = data
	return j
}

// submit sends the job once to a gate and returns the status.
func (s *site) submit(ctx context.Context, gate *machine, j *job, timeout time.Duration) int {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	status, _ := call(limited, http.MethodPost, "http://"+gate.frontend()+"/jobs/"+j.id, map[string]string{"Slateway-Request-Id": j.id, "Content-Type": "application/json"}, bytes.NewReader(j.body))
	s.record.line("job %s sent to %s: %d after %s", j.id, gate.name, status, time.Since(began).Round(time.Millisecond))
	return status
}

// hexID turns a job's ID into a part ID, which is hexadecimal.
func hexID(id string) string { return fmt.Sprintf("%x", id) }

type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads all results that are listed, from the start. ok is false if the read failed.
func (s *site) results(ctx context.Context, gate *machine, id string) (total int, list []result, status int) {
	for {
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		got, data := call(limited, http.MethodGet, "http://"+gate.frontend()+fmt.Sprintf(wire["results"], id, len(list)), nil, nil)
		cancel()
		if got != http.StatusOK {
			return total, list, got
		}
		var page struct {
			Total   int      `json:"total"`
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(data, &page); err != nil {
			return total, list, 0
		}
		total = page.Total
		list = append(list, page.Results...)
		if len(page.Results) == 0 || len(list) >= total {
			return total, list, got
		}
	}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the outcome to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
