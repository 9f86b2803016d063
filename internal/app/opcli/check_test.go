package opcli

import (
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/wire/peer"
)

// TestPlaceOfFinding guards against a name in a checked file that breaks the table or controls the terminal.
func TestPlaceOfFinding(t *testing.T) {
	is := is.New(t)
	is.Equal(placeOf(&peer.ConfigurationFinding{Subject: "queue", Name: "h/q/"}), "queue h/q/")
	is.Equal(placeOf(&peer.ConfigurationFinding{Subject: "configuration", Line: 2, Column: 7}), "configuration, line 2, column 7")
	is.Equal(placeOf(&peer.ConfigurationFinding{Subject: "account", Name: "a\x1b[2J\tb\n"}), "account a\uFFFD[2J\uFFFDb\uFFFD")
}

// TestFindingsExitCodes guards against an exit code by which a script takes a configuration with errors for a valid one.
func TestFindingsExitCodes(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(&findingsError{errors: 1, warnings: 1}), ExitUsage)
	is.Equal(exitCode(&findingsError{warnings: 1}), ExitWarnings)
}
