package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// failOnBreach makes a violated invariant fail the test.
func failOnBreach(t testing.TB) {
	check.SetHandler(func(name string, fields []zap.Field) { t.Fatalf("invariant %s breached: %v", name, fields) })
}

var vmSteps = []record.VMStep{
	record.VMJoin, record.VMDrain, record.VMStop, record.VMMove, record.VMReturn, record.VMActivate, record.VMFail,
}

// TestVMRandom applies changes in random order, with duplicate, late and concurrent ones. It checks that a VM belongs to
// exactly one pool and changes it only while it is stopped and with a new epoch, and that a refused change has no
// effect.
func TestVMRandom(t *testing.T) {
	failOnBreach(t)
	rapid.Check(t, func(r *rapid.T) {
		m := state.NewMachine()
		var sent []record.Command
		pools := map[string]string{}
		for index := range uint64(rapid.IntRange(1, 120).Draw(r, "count")) {
			c := record.Command{RequestID: fmt.Sprint("r", index), Time: time.Unix(int64(index), 0)}
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(r, "late") == 0 {
				c = rapid.SampledFrom(sent).Draw(r, "resent")
				c.RequestID = rapid.SampledFrom([]string{c.RequestID, fmt.Sprint("again", index)}).Draw(r, "identity")
			} else {
				name := rapid.SampledFrom([]string{"vm-1", "vm-2"}).Draw(r, "vm")
				known := m.State().VMs[name]
				c.VM = &record.VMChange{
					Step: rapid.SampledFrom(vmSteps).Draw(r, "step"), VM: name, Pool: rapid.SampledFrom([]string{"a", "b", ""}).Draw(r, "pool"),
					Epoch: known.Epoch, Version: rapid.SampledFrom([]uint64{0, known.Version}).Draw(r, "version"),
				}
			}
			sent = append(sent, c)
			before := m.State().VMs[c.VM.VM]
			result := m.Apply(index+1, c)
			after := m.State().VMs[c.VM.VM]
			if result.Code != record.CodeOK && before != after {
				r.Fatalf("a refused change changed the VM: %+v to %+v", before, after)
			}
			if after.Pool != pools[c.VM.VM] && pools[c.VM.VM] != "" && (after.Epoch <= before.Epoch || before.Phase != fleet.PhaseStopped) {
				r.Fatalf("the VM changed pools while it was %s: %+v", before.Phase, after)
			}
			pools[c.VM.VM] = after.Pool
		}
	})
}

// TestVM runs the scripts of testdata/vm: each command is a step of one VM and prints the result and the VM.
func TestVM(t *testing.T) {
	failOnBreach(t)
	datadriven.Walk(t, "testdata/vm", func(t *testing.T, path string) {
		m := state.NewMachine()
		index := uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			is := is.New(t)
			c := record.VMChange{VM: "vm-1", Epoch: m.State().VMs["vm-1"].Epoch}
			for _, s := range vmSteps {
				if s.String() == d.Cmd {
					c.Step = s
				}
			}
			for _, a := range d.CmdArgs {
				switch a.Key {
				case "pool":
					c.Pool = a.Vals[0]
				case "epoch":
					d.ScanArgs(t, "epoch", &c.Epoch)
				case "version":
					d.ScanArgs(t, "version", &c.Version)
				}
			}
			is.True(c.Step != 0)
			index++
			result := m.Apply(index, record.Command{RequestID: fmt.Sprint(index), Time: time.Unix(int64(index), 0), VM: &c})
			v := m.State().VMs["vm-1"]
			return fmt.Sprintf("%s %s\n%s pool=%s epoch=%d version=%d target=%q\n", result.Code, result.Message, v.Phase, v.Pool, v.Epoch, v.Version, v.Target)
		})
	})
}
