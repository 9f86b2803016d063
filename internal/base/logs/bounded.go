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

// Bounded queues log lines without blocking the caller, and writes them from the goroutine that calls Run.
// Write and Sync are safe for concurrent use.
type Bounded struct {
	out   io.Writer
	lines chan []byte
}

// NewBounded returns a logger that never blocks its callers and bounds the rate of each event name, and the writer that
// writes its JSON lines to out. The caller must run the writer. It fails on an unknown level.
func NewBounded(level string, out io.Writer) (*zap.Logger, *Bounded, error) {
	minLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.MessageKey = "time", "event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	b := &Bounded{out: out, lines: make(chan []byte, maxQueuedLines)}
	return zap.New(newLimitedCore(zapcore.NewCore(zapcore.NewJSONEncoder(config), b, minLevel))), b, nil
}

// Write queues a copy of one line; it drops the line if the queue is full. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Sync does nothing, since Run writes lines as soon as it can.
func (b *Bounded) Sync() error { return nil }

// Run writes lines until the context ends, and then those that are still queued. Only the last write can make it fail.
func (b *Bounded) Run(ctx context.Context) error {
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			for len(b.lines) > 0 {
				buffer = append(buffer, <-b.lines...)
			}
			_, err := b.out.Write(buffer)
			return errors.Wrap(err, "write the last log lines")
		case line := <-b.lines:
			buffer = append(buffer[:0], line...)
			for len(b.lines) > 0 && len(buffer) < maxWriteBytes {
				buffer = append(buffer, <-b.lines...)
			}
			if _, err := b.out.Write(buffer); err != nil {
				// The output can't be written, for instance because its reader is gone. The lines are lost and count as one drop.
				linesDropped.Inc()
			}
		}
	}
}

// maxWriteBytes is the size from which no further line is added to one write.
const maxWriteBytes = 32 << 10
