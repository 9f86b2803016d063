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

// TestReferencePages checks that the pages made from the schemas are the present ones.
func TestReferencePages(t *testing.T) {
	for file, text := range map[string]string{"docs/SETTINGS.md": schema.Daemon, "docs/SITE.md": schema.Site, "docs/DOCUMENT.md": schema.Environment} {
		is := is.New(t)
		want, err := conf.Reference(text)
		is.NoErr(err)
		got, err := os.ReadFile(file)
		is.NoErr(err)
		if string(got) != want {
			t.Errorf("%s is not what its schema gives; see DEVELOPERS.md for how to write it again", file)
		}
	}
}

// TestExamples checks the example settings and documents.
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

// fields are names on docs/METRICS.md that are neither events nor metrics.
var fields = map[string]bool{"torn_bytes": true, "listed_ms_ago": true, "worst_tail_percent": true, "silent_ms": true}

// TestMetricsPage checks that docs/METRICS.md names each event of the log and each metric, and no other.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("docs/METRICS.md")
	is.NoErr(err)
	named := map[string]bool{}
	for _, m := range regexp.MustCompile("`([a-z]+_[a-z_]+|started|stopping|decided)`").FindAllSubmatch(page, -1) {
		named[string(m[1])] = true
	}
	used := usedNames(t)
	for name := range used {
		if !named[name] {
			t.Errorf("docs/METRICS.md does not name %s", name)
		}
	}
	for name := range named {
		if !used[name] && !fields[name] {
			t.Errorf("docs/METRICS.md names %s, which no code writes", name)
		}
	}
}

// usedNames returns the events and metrics that the product's code writes.
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
