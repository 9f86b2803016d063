package logs

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Options sets the level and format of a log. The zero value is JSON at level info.
type Options struct {
	// Level is the least severe level that is written: debug, info, warn or error. Default: info.
	Level string
	// Format is json or console. Default: json.
	Format string
}

// New returns a logger that writes to stderr. It fails on an unknown level or format.
func New(o Options) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.MessageKey = "event"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.OutputPaths = []string{"stderr"}
	if o.Format != "" {
		config.Encoding = o.Format
	}
	if o.Level != "" {
		level, err := zap.ParseAtomicLevel(o.Level)
		if err != nil {
			return nil, errors.Wrap(err, "log level")
		}
		config.Level = level
	}
	logger, err := config.Build()
	return logger, errors.Wrap(err, "build the log")
}
