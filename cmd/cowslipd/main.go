package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cowslipstack/internal/app/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	signals := make(chan os.Signal, 1)
	// By default, SIGHUP and SIGPIPE would end the process.
	signal.Notify(signals, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	code := daemon.RunCommand(ctx, os.Args[1:], daemon.Terminal{Out: os.Stdout, Err: os.Stderr, Reload: reloadRequests(ctx, signals)})
	stop()
	os.Exit(code)
}

// reloadRequests turns signals into requests to reload the settings. Signals that arrive while a request is pending add
// none.
func reloadRequests(ctx context.Context, signals <-chan os.Signal) <-chan struct{} {
	requests := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case requests <- struct{}{}:
				default:
				}
			}
		}
	}()
	return requests
}
