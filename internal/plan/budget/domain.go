package budget

import (
	"strings"
	"time"

	"cowslipstack/internal/model/fleet"
)

// Level is the size class of a failure domain; the zero value is invalid.
type Level int

const (
	// LevelRack is a single rack.
	LevelRack Level = iota + 1 // rack
	// LevelSwitch is all racks on one switch.
	LevelSwitch // switch
	// LevelDataCentre is a whole data centre.
	LevelDataCentre // data_centre
)

// Levels lists all levels, from the smallest to the largest.
var Levels = []Level{LevelRack, LevelSwitch, LevelDataCentre}

// DomainAt returns the failure domain of the given level that contains d.
func DomainAt(d fleet.Domain, l Level) fleet.Domain {
	switch l {
	case LevelRack:
		return d
	case LevelSwitch:
		return fleet.Domain{DataCentre: d.DataCentre, Switch: d.Switch}
	default:
		return fleet.Domain{DataCentre: d.DataCentre}
	}
}

// DomainName returns the name of a failure domain that operators see.
func DomainName(d fleet.Domain, l Level) string {
	switch l {
	case LevelRack:
		return strings.Join([]string{"rack", d.DataCentre, d.Switch, d.Rack}, " ")
	case LevelSwitch:
		return strings.Join([]string{"switch", d.DataCentre, d.Switch}, " ")
	default:
		return "data centre " + d.DataCentre
	}
}

// outageByLevel is the expected duration of the loss of a domain: the time to detect it and to bring in spare VMs.
var outageByLevel = map[Level]time.Duration{
	LevelRack:       2 * time.Minute,
	LevelSwitch:     2 * time.Minute,
	LevelDataCentre: 5 * time.Minute,
}

// ExpectedOutage returns the duration for which the loss of a domain of the given level is planned.
func ExpectedOutage(l Level) time.Duration {
	return outageByLevel[l]
}

// Loss describes the failure domain whose loss costs a pool the most bad time.
type Loss struct {
	// Domain is the name of the failure domain; empty if no loss leaves the pool short of VMs.
	Domain string
	// Level is the size class of the domain.
	Level Level
	// VMs is the number of the pool's VMs in the domain.
	VMs int
	// BadMS is the bad time that the loss would cause, in milliseconds.
	BadMS int64
}

// CountsAsCapacity reports whether a VM counts as capacity of its pool.
func CountsAsCapacity(v fleet.VM) bool {
	return v.Phase == fleet.PhaseActive
}

// WorstLoss returns the loss that costs a pool the most, given that need VMs carry its demand and spare VMs can join it.
func WorstLoss(vms []fleet.VM, need, spare int) Loss {
	have := 0
	for _, v := range vms {
		if CountsAsCapacity(v) {
			have++
		}
	}
	var worst Loss
	for _, l := range Levels {
		counts := map[fleet.Domain]int{}
		for _, v := range vms {
			if CountsAsCapacity(v) {
				counts[DomainAt(v.Domain, l)]++
			}
		}
		for domain, n := range counts {
			bad := ShortfallMS(need, have-n+spare, outageByLevel[l])
			if bad == 0 || bad < worst.BadMS {
				continue
			}
			if name := DomainName(domain, l); bad > worst.BadMS || name < worst.Domain {
				worst = Loss{Domain: name, Level: l, VMs: n, BadMS: bad}
			}
		}
	}
	return worst
}
