package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond limits the volume of the log: about ten lines per request at
	// the peak load of a gate on a small VM, some 100 requests per second.
	maxLinesPerSecond = 1000
	// maxLineBurst is the burst size of the rate limit.
	maxLineBurst = 2000
	// maxPendingBytes limits the pending lines when the reader has stopped reading.
	maxPendingBytes = 1 << 20
	// flushInterval is the time during which lines are collected into one write.
	flushInterval = 20 * time.Millisecond
	// closeTimeout limits how long close waits for the last lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// boundedWriter passes lines to a goroutine that writes them. If logging blocked, the
// daemon would stop serving whenever the reader of its output stops reading.
type boundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	pending []byte
	dropped int // lines dropped since the last accepted one
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{
		out: out, limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues or drops one line. It never fails and never blocks on the reader.
func (w *boundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes || !w.limiter.Allow() {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, `{"level":"warn","time":%q,"msg":"log lines dropped","lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), w.dropped)
		w.dropped = 0
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: the goroutine writes queued lines without being asked.
func (w *boundedWriter) Sync() error { return nil }

func (w *boundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-w.stop:
		case <-timer.C:
		}
		timer.Stop()
		w.flush()
	}
}

func (w *boundedWriter) flush() {
	w.mu.Lock()
	data := w.pending
	w.pending = nil
	w.mu.Unlock()
	if len(data) > 0 {
		_, _ = w.out.Write(data) // an error of the log itself cannot be reported
	}
}

func (w *boundedWriter) close() {
	w.once.Do(func() { close(w.stop) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
