package state_test

import (
	"os"
	"testing"

	"cowslipstack/internal/base/tests"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "6"})
	os.Exit(m.Run())
}
