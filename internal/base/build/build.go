package build

import (
	"bytes"
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/base/hist"
)

const (
	// development is the module's version in a build without version control.
	development = "(devel)"
	// noteSection holds the identity that the linker gives a program, after a header of noteHeaderBytes.
	noteSection     = ".note.go.buildid"
	noteHeaderBytes = 16
)

// Version returns the version of the program, with the revision that it was built from; where the build doesn't know one, with the identity
// that "go tool buildid" prints for the program.
var Version = sync.OnceValue(func() string {
	version := development
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	if id := identity(); version == development && id != "" {
		version += " build " + id
	}
	return version
})

// identity returns the part of the linker's identity that differs between programs, empty if the program can't be read.
func identity() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	file, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }() // It was only read.
	section := file.Section(noteSection)
	if section == nil {
		return ""
	}
	note, err := section.Data()
	if err != nil || len(note) < noteHeaderBytes {
		return ""
	}
	id := string(bytes.TrimRight(note[noteHeaderBytes:], "\x00"))
	return id[strings.LastIndexByte(id, '/')+1:]
}

// Register adds the metric that names the build.
func Register() {
	metrics.GetOrCreateGauge(hist.Series("cowslip_build_info", hist.Label{Name: "version", Value: Version()}), func() float64 { return 1 })
}
