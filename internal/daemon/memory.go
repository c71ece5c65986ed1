package daemon

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/settings"
)

// memoryGaugeInterval is how often the gauges of held bytes are updated.
const memoryGaugeInterval = time.Second

// newMemory creates the account of the bytes that a gate holds for callers and job items.
func newMemory(s *settings.Settings, metrics buffers.Metrics, log *zap.Logger) *buffers.Account {
	return buffers.New(buffers.Options{
		Budget: s.MemoryBudget(), LargestBody: int64(s.Limits.MaxBodyBytes),
		BodyTimeout: s.Timeouts.Body, WriteTimeout: s.Timeouts.Write,
		Name: s.VM.Name, Metrics: metrics, Log: log,
	})
}

// SetMemoryLimit sets Go's memory limit for a process with these settings.
func SetMemoryLimit(s *settings.Settings) { debug.SetMemoryLimit(s.GoMemoryLimit()) }
