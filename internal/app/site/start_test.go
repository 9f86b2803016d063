package site

import (
	"context"
	"io"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/base/loop"
)

// testSettings returns the settings of a process with a disk and without servers for callers, workers and operators.
func testSettings(t *testing.T) conf.Site {
	t.Helper()
	var s conf.Site
	s.Name, s.Listen.Host, s.Control.DataFolder = "p0", "127.0.0.1", filepath.Join(t.TempDir(), "data")
	s.Control.HeartbeatMs, s.Control.ElectionMs, s.Control.SnapshotRecords = 100, 1000, 1000
	return s
}

// TestStepDuringStart lets the log take a step as soon as the control loop runs, as a message does that arrives while the
// process starts. The race detector reports what is set only after the loop has started.
func TestStepDuringStart(t *testing.T) {
	is := is.New(t)
	for range 5 {
		logger, logWriter, err := logs.NewAsync("info", io.Discard)
		is.NoErr(err)
		stepped := make(chan error, 1)
		step := func(l *loop.Loop, r *replica) error {
			return l.TryPost(func() { stepped <- r.node.ConfirmNow(func(error) {}) })
		}
		app := fx.New(fx.NopLogger, fx.Invoke(step), Module(testSettings(t), Options{}, logger, logWriter))
		is.NoErr(app.Err())
		is.NoErr(app.Start(t.Context()))
		is.True(<-stepped != nil) // no replica leads yet
		is.NoErr(app.Stop(context.Background()))
	}
}
