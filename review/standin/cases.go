package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// startEngines starts replicas of a model service.
func (s *site) startEngines(service string, firstHost, count int) (list []*process, err error) {
	for i := range count {
		p, err := s.startReplica(replicaOptions{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, host: firstHost + i, engine: true, slots: 8, pieces: 20, pause: 50 * time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// lostServiceCase: the only replica of the service that the batch route leads to is lost for good,
// and the operator moves the route to another service, whose replicas are free. The accepted batch
// job must be finished there.
func lostServiceCase(s *site) (broken bool, err error) {
	if err := s.startVMs(); err != nil {
		return false, err
	}
	if _, err := s.startEngines("wordroom", 31, 3); err != nil {
		return false, err
	}
	second, err := s.startEngines("wordroom-b", 41, 1)
	if err != nil {
		return false, err
	}
	if err := s.configure(document(3, "wordroom-b")); err != nil {
		return false, err
	}
	if err := s.awaitReady("/stream/warm", engineHeader); err != nil {
		return false, err
	}
	if err := s.submit("before", "/jobs/", 10); err != nil {
		return false, err
	}
	if err := s.finish("before"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if err := s.submit("moved", "/jobs/", 150); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		for _, p := range second {
			p.kill()
			s.note("DISRUPTION: %s is lost for good", p.name)
		}
	}
	time.Sleep(time.Second)
	if err := s.configure(document(8, "wordroom")); err != nil {
		return false, err
	}
	moved := time.Now()
	time.Sleep(configApply)
	if err := s.submit("after", "/jobs/", 10); err != nil {
		return false, err
	}
	if err := s.finish("after"); err != nil {
		return false, err
	}
	s.note("a batch job sent after the move is done by the replicas of the new service, %.1f s after the move", time.Since(moved).Seconds())
	for i := range 20 { // traffic goes on for a while
		if _, _, _, err := s.request(i%2, "/stream/x", fmt.Sprintf("stream-%d", i), engineHeader); err != nil {
			s.note("client: %v", err)
		}
	}
	return s.isUnfinished("moved", time.Now().Add(finishTime))
}

// crashedAnswerCase: a replica's process is killed while it sends an answer that has no length. What
// its client gets must not look like a whole answer.
func crashedAnswerCase(s *site) (broken bool, err error) {
	if err := s.startVMs(); err != nil {
		return false, err
	}
	options := make([]replicaOptions, 3)
	replicas := make(map[string]*process)
	for i := range options {
		options[i] = replicaOptions{id: fmt.Sprintf("i-page-%d", i), service: "pagedesk", host: 51 + i, slots: 6, pieces: 30, pause: 10 * time.Millisecond}
		if replicas[options[i].id], err = s.startReplica(options[i]); err != nil {
			return false, err
		}
	}
	if err := s.configure(document(3, "wordroom")); err != nil {
		return false, err
	}
	if err := s.awaitReady("/page/warm", nil); err != nil {
		return false, err
	}
	time.Sleep(contact)
	half := make(chan runEvent, 100)
	s.mu.Lock()
	s.onRun = func(e runEvent) {
		if e.Event == "half" {
			half <- e
		}
	}
	s.mu.Unlock()
	go func() {
		e := <-half // of the first request
		if s.trouble {
			replicas[e.Replica].kill()
			s.note("DISRUPTION: %s crashes while it sends the answer to %s", e.Replica, e.Request)
		}
		for range half {
		}
	}()
	for i := range 20 {
		id := fmt.Sprintf("page-%d", i)
		status, header, body, err := s.request(i%2, "/page/x", id, nil)
		if err != nil || status != http.StatusOK {
			continue // no success: the client sees that it has no answer
		}
		whole := wholeAnswer(id, options[0].pieces)
		if string(body) != whole {
			s.note("BROKEN: %s is a success with %d of %d bytes, Content-Length %q, signature %q", id, len(body), len(whole),
				header.Get("Content-Length"), header.Get(wire["signature"]))
			broken = true
		}
	}
	return broken, nil
}

func wholeAnswer(id string, pieces int) string {
	var text strings.Builder
	for n := 1; n <= pieces; n++ {
		text.WriteString(partText(id, n))
	}
	return text.String()
}

// foreignPingCase: another writer sends pings that name a service which isn't there, with the
// addresses of replicas in service. The replicas must stay in use.
func foreignPingCase(s *site) (broken bool, err error) {
	if err := s.startVMs(); err != nil {
		return false, err
	}
	if _, err := s.startEngines("wordroom", 31, 3); err != nil {
		return false, err
	}
	if err := s.configure(document(3, "wordroom")); err != nil {
		return false, err
	}
	if err := s.awaitReady("/stream/warm", engineHeader); err != nil {
		return false, err
	}
	if err := s.submit("before", "/jobs/", 10); err != nil {
		return false, err
	}
	if err := s.finish("before"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if s.trouble {
		go s.writeForeignPings()
		time.Sleep(configApply)
	}
	if err := s.submit("job", "/jobs/", 10); err != nil {
		return false, err
	}
	if _, _, _, err := s.request(0, "/stream/x", "stream-1", engineHeader); err != nil {
		s.note("client: %v", err)
	}
	return s.isUnfinished("job", time.Now().Add(finishTime))
}

// foreignRounds is how often the other writer sends its pings. It ends them long before finish_s is
// over, so that the site is calm then.
const foreignRounds = 5

// writeForeignPings sends pings of another writer.
func (s *site) writeForeignPings() {
	born := time.Now().UnixMilli()
	for sequence := 1; sequence <= foreignRounds; sequence++ {
		for i := range 3 {
			body := pingBody("printroom", s.replicaAddress(31+i), zones[(31+i)%3], 8, sequence, born, false)
			if _, _, err := s.operate("DISRUPTION, another writer", http.MethodPost, fmt.Sprintf(wire["ping"], fmt.Sprintf("other-%d", i)), body); err != nil {
				s.note("%v", err)
			}
		}
		time.Sleep(pingInterval)
	}
	s.note("the other writer sends no more pings")
}
