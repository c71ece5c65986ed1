// Package telemetry provides a daemon's log and metrics: counters, among them one
// for each refusal and retry reason, gauges and latency histograms.
package telemetry

import (
	"fmt"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log is a logger whose level can be changed while it is in use.
type Log struct {
	*zap.Logger
	level  zap.AtomicLevel
	writer *boundedWriter
}

// NewLogger creates a logger that writes to standard output. The level is debug,
// info, warn or error; the format is json or console. Logging never blocks: lines
// beyond the limits on the log's volume are dropped, and a log line reports how many.
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
		return nil, fmt.Errorf("log format %q: unknown format; use json or console", format)
	}
	log := &Log{level: zap.NewAtomicLevelAt(parsed), writer: newBoundedWriter(os.Stdout)}
	log.Logger = zap.New(zapcore.NewCore(encoder, log.writer, log.level), zap.AddCaller())
	return log, nil
}

// SetLevel changes the level of all lines logged from now on.
func (l *Log) SetLevel(level string) error {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level %q: %w", level, err)
	}
	l.level.SetLevel(parsed)
	return nil
}

// Close writes the pending lines and stops the writer. It gives up after a short
// timeout if the reader of the output does not read.
func (l *Log) Close() { l.writer.close() }

// Fields by which the log lines of one request can be found.

// RequestID returns the field for a request's ID.
func RequestID(id string) zap.Field { return zap.String("request_id", id) }

// Team returns the field for the team that sent a request.
func Team(name string) zap.Field { return zap.String("team", name) }

// Upstream returns the field for the replica that a request was sent to.
func Upstream(replica string) zap.Field { return zap.String("upstream", replica) }

// Reason returns the field for the reason of a refusal or retry.
func Reason(reason string) zap.Field { return zap.String("reason", reason) }
