package logs

import (
	"context"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines bounds the log lines that wait to be written; further lines are dropped and counted.
const maxQueuedLines = 4096

var (
	linesDropped    = metrics.NewCounter("cowslip_log_lines_dropped_total")
	linesSuppressed = metrics.NewCounter("cowslip_log_lines_left_out_total")
)

// AsyncWriter queues log lines without blocking the caller, and writes them from the goroutine that calls Run.
// Write and Sync are safe for concurrent use.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
}

// NewAsync returns a logger that never blocks its callers and bounds the rate of each event name, and the writer that
// writes its JSON lines to out. The caller must run the writer. NewAsync fails on an unknown level.
func NewAsync(level string, out io.Writer) (*zap.Logger, *AsyncWriter, error) {
	minLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.MessageKey = "time", "event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
	return zap.New(newLimitedCore(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, minLevel))), w, nil
}

// maxLineBytes bounds a log line; a longer one is dropped and counted.
const maxLineBytes = 64 << 10

// Write queues a copy of one line; it drops the line if it is too long or the queue is full. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(line) > maxLineBytes {
		linesDropped.Inc()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Sync does nothing, since Run writes lines as soon as it can.
func (w *AsyncWriter) Sync() error { return nil }

// Run writes lines until the context ends, and then those that are still queued. Only the last write can make it fail.
func (w *AsyncWriter) Run(ctx context.Context) error {
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			buffer = buffer[:0]
			for len(w.lines) > 0 {
				buffer = append(buffer, <-w.lines...)
			}
			_, err := w.out.Write(buffer)
			return errors.Wrap(err, "write the last log lines")
		case line := <-w.lines:
			buffer = append(buffer[:0], line...)
			for len(w.lines) > 0 && len(buffer) < maxWriteBytes {
				buffer = append(buffer, <-w.lines...)
			}
			if _, err := w.out.Write(buffer); err != nil {
				// The output can't be written, for instance because its reader is gone. The lines are lost and count as
				// one drop.
				linesDropped.Inc()
			}
		}
	}
}

// maxWriteBytes is the size from which no further line is added to one write.
const maxWriteBytes = 32 << 10
