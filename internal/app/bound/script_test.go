package bound_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/app/bound"
)

// TestScripts runs the command with the arguments of "run"; the input is what it reads from standard input. It prints the
// output, the errors, and the exit code unless it is 0.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "run" {
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			var args []string
			for _, a := range d.CmdArgs {
				args = append(args, strings.TrimSuffix(a.Key+"="+strings.Join(a.Vals, ","), "="))
			}
			var out strings.Builder
			if code := bound.Run(args, bound.Streams{In: strings.NewReader(d.Input), Out: &out, Err: &out}); code != bound.ExitOK {
				fmt.Fprintf(&out, "exit code %d\n", code)
			}
			return out.String()
		})
	})
}
