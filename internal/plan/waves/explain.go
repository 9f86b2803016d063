package waves

import (
	"fmt"
	"slices"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// Explain returns why a VM is taken out next or isn't; false means that no VM has that name.
func Explain(in Input, name string) (record.Reason, bool) {
	v := newView(in)
	index := slices.IndexFunc(in.VMs, func(m fleet.VM) bool { return m.Name == name })
	if index < 0 {
		return record.Reason{}, false
	}
	m := in.VMs[index]
	w, ok := v.current()
	switch {
	case m.Phase != fleet.PhaseActive:
		return record.Reason{Inputs: "phase " + m.Phase.String() + ", work " + m.Work, Rule: m.Cause}, true
	case !ok || !w.IsDue(m):
		return record.Reason{
			Inputs: fmt.Sprintf("maintained %s ago, cycle %s", v.Now.Sub(m.Maintained).Round(time.Second), v.Policy.Cycle),
			Rule:   "the VM is not due", Change: "the next wave, or cowslip wave start",
		}, true
	}
	v.countProgress(w)
	reason, _ := v.checkDrain(w, v.pools[m.Pool], m, v.recentFailureDomains(), v.outDomains(w))
	return reason, true
}

// ShortageWithout returns why a pool would be short of capacity without a VM. It is empty if the VM can be spared or
// isn't active.
func ShortageWithout(in Input, name string) string {
	v := newView(in)
	for _, m := range in.VMs {
		if m.Name != name || m.Phase != fleet.PhaseActive {
			continue
		}
		if reason, ok := v.checkDrain(fleet.Wave{}, v.pools[m.Pool], m, domainSet{}, domainSet{}); !ok {
			return reason.String()
		}
	}
	return ""
}

// Forecast describes the least duration of a wave before it starts, and why it can't take some of its VMs yet.
func Forecast(in Input, w fleet.Wave) string {
	v := newView(in)
	_, due := v.countProgress(w)
	text := fmt.Sprintf("%d VMs due, %s at the least", due, MinDuration(in, w))
	reported := map[string]bool{}
	recent, taken := v.recentFailureDomains(), v.outDomains(w)
	for _, m := range v.eligibleVMs(w) {
		if reason, ok := v.checkDrain(w, v.pools[m.Pool], m, recent, taken); !ok && !reported[reason.Inputs] {
			reported[reason.Inputs] = true
			text += "; waits: " + reason.String()
		}
	}
	return text
}
