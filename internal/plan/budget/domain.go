package budget

import (
	"strings"
	"time"

	"cowslipstack/internal/model/fleet"
)

// Level is how large a failure domain is; the zero value is not valid.
type Level int

const (
	// LevelRack is a rack.
	LevelRack Level = iota + 1 // rack
	// LevelSwitch is the racks on one switch.
	LevelSwitch // switch
	// LevelDataCentre is a data centre.
	LevelDataCentre // data_centre
)

// Levels are all levels from the smallest to the largest.
var Levels = []Level{LevelRack, LevelSwitch, LevelDataCentre}

// Part returns the failure domain of a level that a VM stands in.
func Part(d fleet.Domain, l Level) fleet.Domain {
	switch l {
	case LevelRack:
		return d
	case LevelSwitch:
		return fleet.Domain{DataCentre: d.DataCentre, Switch: d.Switch}
	default:
		return fleet.Domain{DataCentre: d.DataCentre}
	}
}

// Name names a failure domain for an operator.
func Name(d fleet.Domain, l Level) string {
	switch l {
	case LevelRack:
		return strings.Join([]string{"rack", d.DataCentre, d.Switch, d.Rack}, " ")
	case LevelSwitch:
		return strings.Join([]string{"switch", d.DataCentre, d.Switch}, " ")
	default:
		return "data centre " + d.DataCentre
	}
}

// outages is how long the loss of a domain of each level is planned for: the time to see it and to bring spare VMs in.
var outages = map[Level]time.Duration{
	LevelRack:       2 * time.Minute,
	LevelSwitch:     2 * time.Minute,
	LevelDataCentre: 5 * time.Minute,
}

// Outage returns how long the loss of a domain of a level is planned for.
func Outage(l Level) time.Duration {
	return outages[l]
}

// Loss is the costliest loss of one failure domain for a pool.
type Loss struct {
	// Domain names the domain; empty where no loss leaves the pool short.
	Domain string
	// Level is how large the domain is.
	Level Level
	// VMs is how many VMs of the pool stand in it.
	VMs int
	// BadMS is the bad time that the loss would cost, in milliseconds.
	BadMS int64
}

// Counted says whether a VM counts as capacity.
func Counted(v fleet.VM) bool {
	return v.Phase == fleet.PhaseActive
}

// WorstLoss returns the loss that costs a pool most, where need VMs carry its demand and spare VMs can join it.
func WorstLoss(vms []fleet.VM, need, spare int) Loss {
	have := 0
	for _, v := range vms {
		if Counted(v) {
			have++
		}
	}
	var worst Loss
	for _, l := range Levels {
		counts := map[fleet.Domain]int{}
		for _, v := range vms {
			if Counted(v) {
				counts[Part(v.Domain, l)]++
			}
		}
		for domain, n := range counts {
			bad := ShortMS(need, have-n+spare, outages[l])
			if bad == 0 || bad < worst.BadMS {
				continue
			}
			if name := Name(domain, l); bad > worst.BadMS || name < worst.Domain {
				worst = Loss{Domain: name, Level: l, VMs: n, BadMS: bad}
			}
		}
	}
	return worst
}
