package build_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"cowslipstack/internal/base/build"
)

// TestVersionTellsBuildsApart guards against a log that doesn't tell which build wrote it, also without version control.
func TestVersionTellsBuildsApart(t *testing.T) {
	is := is.New(t)
	build.Register()
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	is.True(build.Version() != "" && build.Version() != "(devel)")
	is.True(strings.Contains(page.String(), `cowslip_build_info{version="`+build.Version()+`"} 1`))
}
