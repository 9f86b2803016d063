package budget_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/budget"
)

// TestLoss checks the worst loss of one failure domain against the scripts in testdata.
func TestLoss(t *testing.T) {
	tests.RunScripts(t, loss)
}

// loss reads one VM per word, as dc/switch/rack, and prints the worst loss.
func loss(t *testing.T, d *datadriven.TestData) string {
	var need, spare int
	d.ScanArgs(t, "need", &need)
	d.MaybeScanArgs(t, "spare", &spare)
	var vms []fleet.VM
	for _, w := range strings.Fields(d.Input) {
		p := strings.Split(w, "/")
		vms = append(vms, fleet.VM{Phase: fleet.PhaseActive, Domain: fleet.Domain{DataCentre: p[0], Switch: p[1], Rack: p[2]}})
	}
	l := budget.WorstLoss(vms, need, spare)
	return fmt.Sprintf("%q %d VMs, %d ms\n", l.Domain, l.VMs, l.BadMS)
}
