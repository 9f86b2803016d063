package certs_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/certs"
)

// TestReload checks that changed files are taken and that unreadable ones leave the last good in use.
func TestReload(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	files := certs.Files{
		Authority:   filepath.Join(folder, "ca.pem"),
		Certificate: filepath.Join(folder, "own.pem"),
		Key:         filepath.Join(folder, "own.key"),
	}
	now := clock.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	_, err := certs.Load(files, now)
	is.True(err != nil) // files that aren't there

	install(t, files, "first", now.Now())
	source, err := certs.Load(files, now)
	is.NoErr(err)
	first := presented(t, source)

	install(t, files, "second", now.Now().Add(time.Minute))
	is.Equal(presented(t, source), first) // not looked at again yet
	now.Advance(time.Minute)
	second := presented(t, source)
	is.True(second != first)

	is.NoErr(os.WriteFile(files.Certificate, []byte("damaged"), 0o600))
	is.NoErr(os.Chtimes(files.Certificate, now.Now(), now.Now().Add(time.Hour)))
	now.Advance(time.Minute)
	is.Equal(presented(t, source), second)
}

// install copies the files of a set in testdata and sets their time of change.
func install(t *testing.T, files certs.Files, set string, changed time.Time) {
	t.Helper()
	is := is.New(t)
	for name, path := range map[string]string{"ca.pem": files.Authority, "own.pem": files.Certificate, "own.key": files.Key} {
		data, err := os.ReadFile(filepath.Join("testdata", set, name))
		is.NoErr(err)
		is.NoErr(os.WriteFile(path, data, 0o600))
		is.NoErr(os.Chtimes(path, changed, changed))
	}
}

// presented returns the certificate that a server shows.
func presented(t *testing.T, source *certs.Source) string {
	t.Helper()
	is := is.New(t)
	config, err := source.Server().GetConfigForClient(nil)
	is.NoErr(err)
	return string(config.Certificates[0].Certificate[0])
}
