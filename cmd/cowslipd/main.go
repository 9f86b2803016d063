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
	// Without these, both signals would end the process.
	signal.Notify(signals, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	code := daemon.Command(ctx, os.Args[1:], daemon.Terminal{Out: os.Stdout, Err: os.Stderr, Reload: reloads(ctx, signals)})
	stop()
	os.Exit(code)
}

// reloads turns signals into requests to read the settings again; while one waits, others are the same.
func reloads(ctx context.Context, signals <-chan os.Signal) <-chan struct{} {
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
