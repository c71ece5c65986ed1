package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// submit sends a batch job until it is accepted.
func (s *site) submit(id, prefix string, items int) error {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	for i := range items {
		list = append(list, item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: fmt.Sprintf("%s%s/%d", prefix, id, i), Headers: engineHeader,
			Body: base64.StdEncoding.EncodeToString([]byte("item " + fmt.Sprint(i))), Tokens: 140,
		})
	}
	body, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		return err
	}
	for try := range 20 {
		status, _, _, err := s.call(http.MethodPost, "http://"+s.gateAddress(try%2)+prefix+id, host,
			map[string]string{wire["request_id"]: id, "Content-Type": "application/json"}, body)
		s.note("client: batch job %s of %d items at gate %d is answered %d, error %v", id, items, try%2, status, err)
		if err == nil && status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the batch job %s was not accepted", id)
}

// result is a result of an item.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads all results of a batch job.
func (s *site) results(id string) (total int, list []result, err error) {
	for gate := 0; ; {
		status, _, answer, err := s.call(http.MethodGet, "http://"+s.gateAddress(gate)+fmt.Sprintf(wire["job_results"], id, len(list)), host, nil, nil)
		if err != nil || status != http.StatusOK {
			if gate++; gate > 1 {
				return 0, nil, fmt.Errorf("reading the batch job %s: %d %v", id, status, err)
			}
			continue
		}
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(answer, &page); err != nil {
			return 0, nil, err
		}
		if len(page.Results) == 0 {
			return page.Total, list, nil
		}
		list = append(list, page.Results...)
	}
}

// awaitResults reads a batch job until all of its items are listed or finish_s is over. It
// returns how many are listed then.
func (s *site) awaitResults(id string, end time.Time) (total, listed int, err error) {
	for {
		total, list, err := s.results(id)
		if err != nil {
			return 0, 0, err
		}
		s.note("client: batch job %s has %d of %d results", id, len(list), total)
		if len(list) == total || time.Now().After(end) {
			return total, len(list), nil
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// finish waits for all results of a batch job that has to be done.
func (s *site) finish(id string) error {
	total, listed, err := s.awaitResults(id, time.Now().Add(finishTime))
	if err == nil && listed < total {
		err = fmt.Errorf("of the batch job %s only %d of %d items are done", id, listed, total)
	}
	return err
}

// isUnfinished judges a batch job by the rule LOST when finish_s is over: an item is not listed
// although no replica has had an item of it for 5 s, and the replicas in service are idle.
func (s *site) isUnfinished(id string, end time.Time) (bool, error) {
	total, listed, err := s.awaitResults(id, end)
	if err != nil || listed == total {
		return false, err
	}
	quiet := s.quiet()
	s.note("finish_s is over: %d of %d items are listed; no replica has begun, ended or dropped a request for %.1f s", listed, total, quiet.Seconds())
	return quiet >= 5*time.Second, nil
}
