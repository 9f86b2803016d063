package main

import (
	"os"

	"cowslipstack/internal/app/bound"
)

func main() {
	os.Exit(bound.Run(os.Args[1:], bound.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
