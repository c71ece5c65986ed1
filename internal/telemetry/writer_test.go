package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks all writes until it is released.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockingWriter) Write(data []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(data)
}

func (s *blockingWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// If the reader of a daemon's output stops reading, logging must not block, the
// memory for pending lines must stay limited, and the log must report how many lines
// were dropped.
func TestLogNeverBlocksAndCountsDroppedLines(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := newBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	start := time.Now()
	const lines = 5 * maxPendingBytes / 1000
	for range lines {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("writing took %s", took)
	}
	w.mu.Lock()
	pending, dropped := len(w.pending), w.dropped
	reported := bytes.Contains(w.pending, []byte("log lines dropped")) // the report resets the count
	w.mu.Unlock()
	if pending > maxPendingBytes || dropped == 0 && !reported {
		t.Fatalf("%d bytes pending, %d lines dropped", pending, dropped)
	}
	close(out.release)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.text(), "log lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("the log does not report the dropped lines")
		}
		_, _ = w.Write([]byte("after\n"))
		time.Sleep(10 * time.Millisecond)
	}
	w.close()
}
