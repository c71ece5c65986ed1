package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckReader takes nothing until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuckReader) Write(data []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(data)
}

func (s *stuckReader) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// The reader of a daemon's output stops reading. Requests go on as before, the
// memory of lines that wait is bounded, and the log says how many are missing.
func TestLogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	w := newBoundedWriter(reader)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	began := time.Now()
	const lines = 5 * maxWaitingBytes / 1000
	for range lines {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("writing took %s", took)
	}
	w.mu.Lock()
	waiting, dropped := len(w.waiting), w.dropped
	told := bytes.Contains(w.waiting, []byte("log lines dropped")) // the count begins anew with it
	w.mu.Unlock()
	if waiting > maxWaitingBytes || dropped == 0 && !told {
		t.Fatalf("%d bytes wait, %d lines dropped", waiting, dropped)
	}
	close(reader.release)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(reader.text(), "log lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("nothing says that lines are missing")
		}
		_, _ = w.Write([]byte("after\n"))
		time.Sleep(10 * time.Millisecond)
	}
	w.close()
}
