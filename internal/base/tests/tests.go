package tests

import (
	"flag"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
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

// metricLine matches a line of a metrics page: a name, labels whose values are escaped, and a number.
var metricLine = regexp.MustCompile(`^[a-zA-Z_:][a-zA-Z0-9_:]*(\{[a-z_]+="([^"\\]|\\[\\"n])*"(,[a-z_]+="([^"\\]|\\[\\"n])*")*\})? [-+0-9.eInfNa]+$`)

// CheckMetricsPage returns an error with the first line of a metrics page that a scraper can't read.
func CheckMetricsPage(page string) error {
	for line := range strings.Lines(page) {
		if line = strings.TrimSuffix(line, "\n"); !utf8.ValidString(line) || !metricLine.MatchString(line) {
			return errors.Newf("a scraper can't read the line %q", line)
		}
	}
	return nil
}

// RunScripts calls run for each command of the scripts under testdata, and compares what it returns with the script.
func RunScripts(t *testing.T, run func(*testing.T, *datadriven.TestData) string) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, run)
	})
}
