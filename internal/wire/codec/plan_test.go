package codec_test

import (
	"time"

	"pgregory.net/rapid"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// drawPlanChange adds a random change of the planner's state to a command.
func drawPlanChange(t *rapid.T, c *record.Command) {
	name := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "name")
	later := c.Time.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "later")) * time.Second)
	number := int64(rapid.IntRange(0, 3).Draw(t, "number"))
	switch rapid.IntRange(0, 3).Draw(t, "plan") {
	case 0:
		c.VM = &record.VMChange{
			Step: record.VMStep(rapid.IntRange(1, 7).Draw(t, "step")), VM: name, Epoch: uint64(number), Pool: "pool", Work: name,
			Cause: "cause", Size: fleet.Size{Cores: 16, MemoryMB: 64000, Accelerators: number}, Domain: fleet.Domain{DataCentre: "a", Switch: "b", Rack: "c"},
		}
	case 1:
		c.Budget = &record.BudgetChange{
			Service: name, From: c.Time, Until: later, BadMS: number, WindowDays: 28, Work: name, ReserveMS: number, ReserveUntil: later,
		}
	case 2:
		c.Wave = &record.WaveChange{
			Step: record.WaveStep(rapid.IntRange(1, 8).Draw(t, "step")), Wave: name, Urgent: number == 1, Cutoff: later, Pool: "pool", Cause: "cause",
		}
	default:
		c.Job = &record.JobChange{
			Step: record.JobStep(rapid.IntRange(1, 12).Draw(t, "step")), Names: []string{name}, VM: name, LeaseUntil: later,
			Job: fleet.Job{Name: name, Team: "team", Pool: "pool", Declared: fleet.Size{Cores: number}}, Used: fleet.Size{Cores: number}, Cause: "cause",
		}
	}
}
