package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond bounds the volume of the log: about ten lines for each of
	// the requests that a gate of a small VM takes at its peak, some 100 a second.
	maxLinesPerSecond = 1000
	// maxLineBurst may be written at once within the rate.
	maxLineBurst = 2000
	// maxWaitingBytes bounds what waits for a reader that has stopped reading.
	maxWaitingBytes = 1 << 20
	// flushInterval gathers lines into one write.
	flushInterval = 20 * time.Millisecond
	// closeWait is how long the last lines may take.
	closeWait = 200 * time.Millisecond
)

// boundedWriter hands lines to a goroutine that writes them. A daemon that
// blocked on its log would stop serving when the reader of its output does.
type boundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	waiting []byte
	dropped int // lines since the last that was written
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{
		out: out, limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line; it never fails and never waits for the reader.
func (w *boundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > maxWaitingBytes || !w.limiter.Allow() {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.waiting = fmt.Appendf(w.waiting, `{"level":"warn","time":%q,"msg":"log lines dropped","lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), w.dropped)
		w.dropped = 0
	}
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync has nothing to do: lines are on their way.
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
	data := w.waiting
	w.waiting = nil
	w.mu.Unlock()
	if len(data) > 0 {
		_, _ = w.out.Write(data) // nobody could be told of it
	}
}

func (w *boundedWriter) close() {
	w.once.Do(func() { close(w.stop) })
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
