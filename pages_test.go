package cowslipstack_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/model/docs"
	"cowslipstack/schema"
)

// TestReferencePages checks that the pages made from the schemas are the present ones.
func TestReferencePages(t *testing.T) {
	for file, text := range map[string]string{"docs/SETTINGS.md": schema.Daemon, "docs/DOCUMENT.md": schema.Environment} {
		is := is.New(t)
		want, err := conf.Reference(text)
		is.NoErr(err)
		got, err := os.ReadFile(file)
		is.NoErr(err)
		if string(got) != want {
			t.Errorf("%s is not what its schema gives; see CONTRIBUTING.md for how to write it again", file)
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
	for _, name := range []string{"swan-coastal.toml", "tucuman-frost.toml"} {
		path := filepath.Join("examples", name)
		text, err := os.ReadFile(path)
		is.NoErr(err)
		_, err = docs.Parse(path, text)
		is.NoErr(err)
	}
}
