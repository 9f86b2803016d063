package logs_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"cowslipstack/internal/base/logs"
)

// TestBounds logs far more lines of one event than the limit for a second. It checks that most are left out, and that
// lines of another event, warnings and error texts are kept.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, written, err := logs.NewAsync("info", &out)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- written.Run(ctx) }()
	const many = 30_000
	for range many {
		logger.Info("frequent")
	}
	logger.Info("rare")
	logger.Warn("frequent")
	logger.With(zap.Error(errors.New("one"))).Info("with_error", zap.Error(errors.New("two")))
	cancel()
	is.NoErr(<-ended)
	text := out.String()
	is.True(strings.Count(text, `"frequent"`) < many/2) // the loop takes a few seconds at the most
	is.True(strings.Contains(text, `"rare"`))
	is.True(strings.Contains(text, `"level":"warn"`))
	is.True(strings.Contains(text, `"error":"one"`))
	is.True(strings.Contains(text, `"error":"two"`))
	is.True(!strings.Contains(text, "errorVerbose"))
}
