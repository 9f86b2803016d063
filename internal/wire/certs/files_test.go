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

// TestReload checks that changed files are loaded after the reload interval, and that the last valid certificate
// stays in use while a file is damaged.
func TestReload(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	files := certs.Files{
		Authority:   filepath.Join(folder, "ca.pem"),
		Certificate: filepath.Join(folder, "own.pem"),
		Key:         filepath.Join(folder, "own.key"),
	}
	manual := clock.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	_, err := certs.Load(files, manual)
	is.True(err != nil) // the files don't exist

	installFiles(t, files, "first", manual.Now())
	source, err := certs.Load(files, manual)
	is.NoErr(err)
	first := serverCertificate(t, source)

	installFiles(t, files, "second", manual.Now().Add(time.Minute))
	is.Equal(serverCertificate(t, source), first) // the reload interval has not passed
	manual.Advance(time.Minute)
	second := serverCertificate(t, source)
	is.True(second != first)

	is.NoErr(os.WriteFile(files.Certificate, []byte("damaged"), 0o600))
	is.NoErr(os.Chtimes(files.Certificate, manual.Now(), manual.Now().Add(time.Hour)))
	manual.Advance(time.Minute)
	is.Equal(serverCertificate(t, source), second)
}

// installFiles copies a set of files from testdata and sets their modification time.
func installFiles(t *testing.T, files certs.Files, set string, modTime time.Time) {
	t.Helper()
	is := is.New(t)
	for name, path := range map[string]string{"ca.pem": files.Authority, "own.pem": files.Certificate, "own.key": files.Key} {
		data, err := os.ReadFile(filepath.Join("testdata", set, name))
		is.NoErr(err)
		is.NoErr(os.WriteFile(path, data, 0o600))
		is.NoErr(os.Chtimes(path, modTime, modTime))
	}
}

// serverCertificate returns the certificate that the server settings present.
func serverCertificate(t *testing.T, source *certs.Source) string {
	t.Helper()
	is := is.New(t)
	config, err := source.Server().GetConfigForClient(nil)
	is.NoErr(err)
	return string(config.Certificates[0].Certificate[0])
}
