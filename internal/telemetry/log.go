// Package telemetry shows what a daemon does: its log, its counters for each
// refusal and retry reason, and its latency histograms.
package telemetry

import (
	"fmt"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log is a logger with what may change while it is in use.
type Log struct {
	*zap.Logger
	level  zap.AtomicLevel
	writer *boundedWriter
}

// NewLogger makes a logger that writes to standard output. Level is debug, info,
// warn or error; format is json or console. Writing never blocks; what goes
// beyond the bounds on its volume is dropped and counted in a line of its own.
func NewLogger(level, format string) (*Log, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	var encoder zapcore.Encoder
	switch format {
	case "json":
		encoder = zapcore.NewJSONEncoder(config)
	case "console":
		encoder = zapcore.NewConsoleEncoder(config)
	default:
		return nil, fmt.Errorf("log format %q: write json or console", format)
	}
	log := &Log{level: zap.NewAtomicLevelAt(parsed), writer: newBoundedWriter(os.Stdout)}
	log.Logger = zap.New(zapcore.NewCore(encoder, log.writer, log.level), zap.AddCaller())
	return log, nil
}

// SetLevel changes the level from now on.
func (l *Log) SetLevel(level string) error {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level %q: %w", level, err)
	}
	l.level.SetLevel(parsed)
	return nil
}

// Close writes what waits, as far as the reader takes it within a moment.
func (l *Log) Close() { l.writer.close() }

// Fields that tie log lines of one request together.

// RequestID is the field of the request's identity.
func RequestID(id string) zap.Field { return zap.String("request_id", id) }

// Team is the field of the team that asked.
func Team(name string) zap.Field { return zap.String("team", name) }

// Upstream is the field of the replica that a request was sent to.
func Upstream(replica string) zap.Field { return zap.String("upstream", replica) }

// Reason is the field of a refusal's or retry's reason.
func Reason(reason string) zap.Field { return zap.String("reason", reason) }
