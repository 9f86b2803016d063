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
	code := daemon.Command(ctx, os.Args[1:], daemon.Terminal{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
