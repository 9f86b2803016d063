package site_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cowslipstack/internal/app/site"
)

// TestOddSeedEndsNoProcess reads the lists of seeds in testdata, one seed a line, and prints the peer addresses and the
// log.
func TestOddSeedEndsNoProcess(t *testing.T) {
	datadriven.RunTest(t, "testdata/odd_seeds", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "seeds" {
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
		}
		core, logged := observer.New(zap.DebugLevel)
		all, err := site.SeedAddresses(strings.Split(d.Input, "\n"), 7060, zap.New(core))
		if err != nil {
			return err.Error() + "\n"
		}
		out := strings.Join(all, " ") + "\n"
		for _, entry := range logged.All() {
			out += fmt.Sprintln(entry.Message, entry.ContextMap())
		}
		return out
	})
}
