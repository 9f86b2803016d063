package hist_test

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/base/tests"
)

// pageOf returns a metrics page with a counter and a histogram whose labels have a value.
func pageOf(value string) string {
	var page bytes.Buffer
	set := metrics.NewSet()
	set.GetOrCreateCounter(hist.Series("cowslip_calls_total", hist.Label{Name: "call", Value: value}, hist.Label{Name: "code", Value: "ok"})).Inc()
	set.GetOrCreateHistogram(hist.Name("cowslip_request_seconds", hist.Labels{Service: value, Class: value})).Update(1)
	set.WritePrometheus(&page)
	return page.String()
}

// TestScripts prints the metrics page for values of labels, one quoted value a line.
func TestScripts(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			value, err := strconv.Unquote(line)
			if err != nil {
				t.Fatalf("%s: %s: %v", d.Pos, line, err)
			}
			out.WriteString(pageOf(value))
		}
		return out.String()
	})
}

// FuzzLabelValues guards against a label's value that ends the process or spoils the metrics page.
func FuzzLabelValues(f *testing.F) {
	for _, value := range []string{"", `yard "east"`, `yard\`, "yard\neast", "\xff\"", `a",b="`, "{}", "\r\x00"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		is.New(t).NoErr(tests.CheckMetricsPage(pageOf(value)))
	})
}
