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
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/quorum"
)

// testSettings returns the settings of a process with a disk and without servers for callers, workers and operators.
func testSettings(t *testing.T) conf.Site {
	t.Helper()
	var s conf.Site
	s.Name, s.Listen.Host, s.Control.DataFolder = "p0", "127.0.0.1", filepath.Join(t.TempDir(), "data")
	s.Control.HeartbeatMs, s.Control.ElectionMs, s.Control.SnapshotRecords = 20, 200, 1000
	return s
}

// testModule returns the module of a process whose log is discarded.
func testModule(t *testing.T, settings conf.Site) fx.Option {
	t.Helper()
	logger, logWriter, err := logs.NewAsync("info", io.Discard)
	is.New(t).NoErr(err)
	return fx.Options(fx.NopLogger, Module(settings, Options{}, logger, logWriter))
}

// TestStepDuringStart lets the log take a step as soon as the control loop runs, as a message does that arrives while the
// process starts. The race detector reports what is set only after the loop has started.
func TestStepDuringStart(t *testing.T) {
	is := is.New(t)
	for range 5 {
		stepped := make(chan error, 1)
		post := func(l *loop.Loop, r *replica) error {
			return l.TryPost(func() { stepped <- r.node.ConfirmNow(func(error) {}) })
		}
		app := fx.New(fx.Invoke(post), testModule(t, testSettings(t)))
		is.NoErr(app.Start(t.Context()))
		is.True(<-stepped != nil) // no replica leads yet
		is.NoErr(app.Stop(context.Background()))
	}
}

// TestStopWhileWriting checks that the log is open until the last goroutine has ended, so that a write which is under way
// when the process stops doesn't fail.
func TestStopWhileWriting(t *testing.T) {
	is := is.New(t)
	var g *tasks.Group
	var d *disk
	app := fx.New(testModule(t, testSettings(t)), fx.Populate(&g, &d))
	is.NoErr(app.Start(t.Context()))
	// The process has no group yet, so its own disk goroutine writes nothing.
	written := make(chan error, 1)
	g.Start("writer", func(ctx context.Context) error {
		<-ctx.Done()
		written <- d.log.Save([]quorum.Write{{Hard: &quorum.HardState{Term: 1}}})
		return nil
	})
	is.NoErr(app.Stop(context.Background()))
	is.NoErr(<-written)
}
