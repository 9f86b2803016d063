package cowslipstack_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/model/docs"
	"cowslipstack/schema"
)

// TestReferencePages checks that the generated reference pages are up to date with the schemas.
func TestReferencePages(t *testing.T) {
	for file, text := range map[string]string{"docs/SETTINGS.md": schema.Daemon, "docs/SITE.md": schema.Site, "docs/DOCUMENT.md": schema.Environment} {
		is := is.New(t)
		want, err := conf.Reference(text)
		is.NoErr(err)
		got, err := os.ReadFile(file)
		is.NoErr(err)
		if string(got) != want {
			t.Errorf("%s differs from the page generated from its schema; see DEVELOPERS.md for how to regenerate it", file)
		}
	}
}

// TestExamples checks that the example settings and environment documents are valid.
func TestExamples(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"entry.toml", "control.toml"} {
		_, err := conf.LoadDaemon(filepath.Join("examples", name))
		is.NoErr(err)
	}
	_, err := conf.LoadSite(filepath.Join("examples", "site.toml"))
	is.NoErr(err)
	for _, name := range []string{"swan-coastal.toml", "tucuman-frost.toml"} {
		path := filepath.Join("examples", name)
		text, err := os.ReadFile(path)
		is.NoErr(err)
		_, err = docs.Parse(path, text)
		is.NoErr(err)
	}
}

// otherNames are the names in docs/METRICS.md that are neither log events nor metrics.
var otherNames = map[string]bool{"torn_bytes": true, "listed_ms_ago": true, "worst_tail_percent": true, "silent_ms": true, "up_unheard_ms": true, "confirmed_ms_ago": true, "confirmed_at": true}

// TestMetricsPage checks that docs/METRICS.md names exactly the log events and the metrics in the code.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("docs/METRICS.md")
	is.NoErr(err)
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile("`([a-z]+_[a-z_]+|started|stopping|decided)`").FindAllSubmatch(page, -1) {
		documented[string(m[1])] = true
	}
	used := usedNames(t)
	for name := range used {
		if !documented[name] {
			t.Errorf("docs/METRICS.md does not name %s, which the code writes", name)
		}
	}
	for name := range documented {
		if !used[name] && !otherNames[name] {
			t.Errorf("docs/METRICS.md names %s, which the code does not write", name)
		}
	}
}

// usedNames returns the names of the log events and metrics in the code of internal and platform, without tests.
func usedNames(t *testing.T) map[string]bool {
	t.Helper()
	is := is.New(t)
	event := regexp.MustCompile(`(?:ogger|log)\.(?:Debug|Info|Warn|Error)\(\s*"([a-z_]+)"`)
	metric := regexp.MustCompile(`\b(cowslip_[a-z]+_[a-z_]+)`)
	used := map[string]bool{}
	walk := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		is.NoErr(err)
		for _, pattern := range []*regexp.Regexp{event, metric} {
			for _, m := range pattern.FindAllSubmatch(text, -1) {
				used[string(m[1])] = true
			}
		}
		return nil
	}
	for _, folder := range []string{"internal", "platform"} {
		is.NoErr(filepath.WalkDir(folder, walk))
	}
	return used
}
