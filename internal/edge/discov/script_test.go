package discov_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipstack/internal/edge/discov"
)

// nested is an array nested more deeply than encoding/json reads, as far as an announcement may be long.
var nested = strings.Repeat("[", 12_000)

// TestScripts posts the announcements in testdata and prints the answer and what was announced.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "announce" {
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			a := &agent{}
			w := httptest.NewRecorder()
			body := strings.NewReader(strings.ReplaceAll(d.Input, "NESTED", nested))
			discov.Handler(a, zap.NewNop()).ServeHTTP(w, httptest.NewRequest(http.MethodPost, discov.Path, body))
			out := fmt.Sprintln(w.Code, strings.TrimSpace(w.Body.String()))
			for _, e := range a.announced {
				out += fmt.Sprintf("%s/%s at %s, slots %d, sequence %d\n", e.Service, e.Name, e.Address, e.Slots, e.Sequence)
			}
			return out
		})
	})
}
