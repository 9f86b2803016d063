package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cowslipstack/internal/app/fakes"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := fakes.Run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}
