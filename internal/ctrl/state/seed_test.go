package state_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A seed given on the command line takes precedence over the fixed one.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("6"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
