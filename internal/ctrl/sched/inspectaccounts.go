package sched

import (
	"maps"
	"slices"

	"cowslipstack/internal/model/batch"
)

// accountViews returns the accounts that have jobs which have not ended, sorted by name.
func (s *Scheduler) accountViews() []batch.AccountView {
	views := map[string]*batch.AccountView{}
	for _, j := range s.options.Log.Batch().Jobs() {
		name := j.Spec.Account
		if name == "" || j.Phase.IsTerminal() {
			continue
		}
		if views[name] == nil {
			views[name] = &batch.AccountView{Name: name}
		}
		views[name].Jobs++
		for i := range j.Spec.Steps {
			step := &j.Spec.Steps[i]
			need := step.ReservedResources()
			if step.Gang {
				need = need.Times(step.Count)
			}
			views[name].LargestNeed = views[name].LargestNeed.Max(need)
		}
	}
	all := make([]batch.AccountView, 0, len(views))
	for _, name := range slices.Sorted(maps.Keys(views)) {
		all = append(all, *views[name])
	}
	return all
}
