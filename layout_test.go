package cowslipstack_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLayout checks that each package is two levels deep under internal, has a name of four to six letters and a doc.go.
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
			t.Errorf("%s: a package must be two levels deep under internal", folder)
		}
		if len(name) < 4 || len(name) > 6 {
			t.Errorf("%s: a package name must have four to six letters", folder)
		}
		if matches, err := filepath.Glob(filepath.Join(folder, "doc.go")); err != nil || len(matches) == 0 {
			t.Errorf("%s: no doc.go", folder)
		}
	}
}

// TestPlatformNames checks that the platform's paths, headers and compound field names do not appear outside package
// platform.
func TestPlatformNames(t *testing.T) {
	is := is.New(t)
	// A name all in lower case may also be one of this project's own names; a path or a name with an inner capital is the
	// platform's alone.
	pattern := regexp.MustCompile("\"([a-z]+[A-Z][A-Za-z]*|/-/[a-z/-]+|[A-Z][a-z]+-(?:Holder|Token|Ms))[\",{/]")
	names := map[string]bool{}
	files, err := filepath.Glob("platform/*.go")
	is.NoErr(err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		is.NoErr(err)
		for _, m := range pattern.FindAllSubmatch(text, -1) {
			names[string(m[1])] = true
		}
	}
	// Fewer names mean that the pattern no longer matches them.
	const minNames = 30
	is.True(len(names) > minNames)
	for _, folder := range []string{"internal", "cmd", "schema"} {
		is.NoErr(filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
			// Generated messages name this project's own fields in the same form.
			skip := strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") || strings.Contains(path, "testdata")
			if err != nil || e.IsDir() || skip {
				return err
			}
			text, err := os.ReadFile(path)
			is.NoErr(err)
			for name := range names {
				if strings.Contains(string(text), "\""+name) {
					t.Errorf("%s: %q is a name of the platform", path, name)
				}
			}
			return nil
		}))
	}
}
