package cowslipstack_test

import (
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLayout checks that packages stand two levels deep under internal and have names of four to six letters.
func TestLayout(t *testing.T) {
	is := is.New(t)
	folders := map[string]bool{}
	err := filepath.WalkDir("internal", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".go") {
			folders[filepath.Dir(path)] = true
		}
		return err
	})
	is.NoErr(err)
	is.True(len(folders) > 0)
	for folder := range folders {
		name := filepath.Base(folder)
		if strings.Count(filepath.ToSlash(folder), "/") != 2 {
			t.Errorf("%s: packages stand two levels deep under internal", folder)
		}
		if len(name) < 4 || len(name) > 6 {
			t.Errorf("%s: a package's name has four to six letters", folder)
		}
		if matches, err := filepath.Glob(filepath.Join(folder, "doc.go")); err != nil || len(matches) == 0 {
			t.Errorf("%s: no doc.go", folder)
		}
	}
}
