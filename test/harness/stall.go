package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// StallWatch measures what the processes of a site share on one machine: how long a sync of
// the disk takes and how long a process waits for a processor. A failed test then shows
// whether the machine held its site up.
type StallWatch struct {
	file *os.File
	stop chan struct{}
	done sync.WaitGroup

	mu          sync.Mutex
	longestSync stall
	longestGap  stall // beyond stallInterval, between two wake-ups of this process
	syncSince   time.Time
	failure     error
}

type stall struct {
	at   time.Time
	took time.Duration
}

func (s *stall) record(at time.Time) {
	if took := time.Since(at); took > s.took {
		*s = stall{at: at, took: took}
	}
}

func (s stall) String() string { return fmt.Sprintf("%s at %s", s.took, s.at.Format("15:04:05.000")) }

// stallInterval is the pause between two measurements. Shorter ones would load the disk themselves.
const stallInterval = 100 * time.Millisecond

// WatchStalls starts to measure on the disk of folder.
func WatchStalls(folder string) (*StallWatch, error) {
	file, err := os.Create(filepath.Join(folder, "stall-watch"))
	if err != nil {
		return nil, fmt.Errorf("create the file of the stall watch: %w", err)
	}
	w := &StallWatch{file: file, stop: make(chan struct{})}
	w.done.Go(func() { w.repeat(w.sync) })
	w.done.Go(func() { w.repeat(func() {}) })
	return w, nil
}

func (w *StallWatch) repeat(measure func()) {
	for {
		measure()
		due := time.Now().Add(stallInterval)
		select {
		case <-w.stop:
			return
		case <-time.After(stallInterval):
		}
		w.mu.Lock()
		w.longestGap.record(due)
		w.mu.Unlock()
	}
}

func (w *StallWatch) sync() {
	began := time.Now()
	w.mu.Lock()
	w.syncSince = began
	w.mu.Unlock()
	_, err := w.file.WriteAt([]byte(began.String()), 0)
	if err == nil {
		err = w.file.Sync()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.syncSince = time.Time{}
	w.longestSync.record(began)
	if err != nil {
		w.failure = err
	}
}

// String describes the longest stalls.
func (w *StallWatch) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf("longest sync of the disk: %s; longest wait for a processor: %s", w.longestSync, w.longestGap)
	if !w.syncSince.IsZero() {
		text += fmt.Sprintf("; a sync has taken %s so far", time.Since(w.syncSince))
	}
	if w.failure != nil {
		text += fmt.Sprintf("; the disk failed: %v", w.failure)
	}
	return text
}

// Close ends the measurement.
func (w *StallWatch) Close() {
	close(w.stop)
	w.done.Wait()
	_ = w.file.Close() // a file of a test
}
