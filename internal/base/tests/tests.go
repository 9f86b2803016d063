package tests

import (
	"flag"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// SetFlags sets flags of a test binary, such as the seed of its random tests, that the command line may override. It must
// be called before the command line is parsed, which testing.M.Run does.
func SetFlags(values map[string]string) {
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// PanicOnBreach makes a breached invariant panic.
func PanicOnBreach() {
	check.SetHandler(func(name string, fields []zap.Field) { panic(fmt.Sprint("invariant breached: ", name, fields)) })
}

// RunScripts calls run for each command of the scripts under testdata, and compares what it returns with the script.
func RunScripts(t *testing.T, run func(*testing.T, *datadriven.TestData) string) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, run)
	})
}
