// Package telemetry shows what a daemon does: its log, its counters for each
// refusal and retry reason, and its latency histograms.
package telemetry

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger makes a logger that writes to standard error. Level is debug,
// info, warn or error; format is json or console.
func NewLogger(level, format string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Encoding = format
	config.Sampling = nil // a refusal that is sampled away cannot be explained later
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("log format %q: %w", format, err)
	}
	return logger, nil
}

// Fields that tie log lines of one request together.

// RequestID is the field of the request's identity.
func RequestID(id string) zap.Field { return zap.String("request_id", id) }

// Team is the field of the team that asked.
func Team(name string) zap.Field { return zap.String("team", name) }

// Upstream is the field of the replica that a request was sent to.
func Upstream(replica string) zap.Field { return zap.String("upstream", replica) }

// Reason is the field of a refusal's or retry's reason.
func Reason(reason string) zap.Field { return zap.String("reason", reason) }
