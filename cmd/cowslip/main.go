package main

import (
	"context"
	"os"
	"os/signal"

	"cowslipstack/internal/app/opcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := opcli.Run(ctx, os.Args[1:], opcli.Terminal{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
