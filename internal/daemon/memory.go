package daemon

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/settings"
)

// callersUnackedTimeout returns how long TCP may leave data unacknowledged on callers'
// connections. TCP also ends a connection by it whose other end is alive and does not
// read, so it is no shorter than the time within which a caller must read. The gate itself
// closes the connections of dead callers earlier, by timeouts.unanswered.
func callersUnackedTimeout(t *settings.Timeouts) time.Duration {
	if t.Unanswered == 0 {
		return 0
	}
	return max(t.Unanswered, t.Write)
}

// newMemory creates the account of the bytes that a gate holds for callers and job items.
func newMemory(s *settings.Settings, metrics buffers.Metrics, log *zap.Logger) *buffers.Account {
	return buffers.New(buffers.Options{
		Budget: s.MemoryBudget(), LargestBody: int64(s.Limits.MaxBodyBytes),
		BodyTimeout: s.Timeouts.Body, WriteTimeout: s.Timeouts.Write, UnackedTimeout: s.Timeouts.Unanswered,
		Name: s.VM.Name, Metrics: metrics, Log: log,
	})
}

// SetMemoryLimit sets Go's memory limit for a process with these settings.
func SetMemoryLimit(s *settings.Settings) { debug.SetMemoryLimit(s.GoMemoryLimit()) }
