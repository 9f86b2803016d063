package spare

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

const (
	// thousand scales loads, which are counted in thousandths of a VM.
	thousand = 1000
	// meanWindow is the averaging time of the mean load.
	meanWindow = 10 * time.Minute
	// peakWindow is the decay time of a peak that isn't reached again.
	peakWindow = 48 * time.Hour
	// surgeFactor is the multiple of the mean load above which a load is a surge.
	surgeFactor = 2
	// waitDivisor gives the part of a deadline that a request may spend waiting: one half.
	waitDivisor = 2
	// meanMarginPercent is the capacity for the mean load including headroom, in percent of that load.
	meanMarginPercent = 125
	percent           = 100
)

// UpdateDemand returns the demand updated with a load sample, in thousandths of a VM, that covers an interval.
func UpdateDemand(d fleet.Demand, sampleMilli int64, interval time.Duration, now time.Time) fleet.Demand {
	if d.Updated.IsZero() {
		return fleet.Demand{Pool: d.Pool, MeanMilli: sampleMilli, PeakMilli: sampleMilli, CurrentMilli: sampleMilli, Updated: now}
	}
	step := min(interval, meanWindow)
	d.MeanMilli += meanStep(sampleMilli-d.MeanMilli, step)
	d.PeakMilli = max(sampleMilli, d.PeakMilli-d.PeakMilli*int64(min(interval, peakWindow))/int64(peakWindow))
	if sampleMilli > surgeFactor*d.MeanMilli {
		d.CurrentSurgeMS += interval.Milliseconds()
		d.LongestSurgeMS = max(d.LongestSurgeMS, d.CurrentSurgeMS)
	} else {
		d.CurrentSurgeMS = 0
	}
	d.CurrentMilli, d.Updated = sampleMilli, now
	return d
}

// meanStep returns by how much the mean changes in one interval, given its difference from the sample. A difference never
// rounds to no change.
func meanStep(difference int64, step time.Duration) int64 {
	part := difference * int64(step) / int64(meanWindow)
	switch {
	case part == 0 && difference > 0:
		return 1
	case part == 0 && difference < 0:
		return -1
	default:
		return part
	}
}

// OfferedMilli returns the offered load, in thousandths of a VM, from the requests in progress and the queue growth.
func OfferedMilli(inProgress, queueGrowth, answered int64, slots int64) int64 {
	load := inProgress * thousand
	if answered > 0 {
		// Newly queued requests would take as long as those answered; requests that left the queue were offered before.
		load += load * queueGrowth / answered
	}
	return max(0, load/max(1, slots))
}

// SurgeNeed returns the number of VMs that carry a pool's surges if requests wait for up to half their deadline.
func SurgeNeed(d fleet.Demand, deadline time.Duration) int {
	wait := deadline.Milliseconds() / waitDivisor
	surge := d.PeakMilli
	if d.LongestSurgeMS > 0 {
		// The backlog at the end of a surge is worked off within the wait: capacity >= peak * surge / (surge + wait).
		surge = d.PeakMilli * d.LongestSurgeMS / (d.LongestSurgeMS + wait)
	}
	return ceilVMs(max(surge, d.MeanMilli*meanMarginPercent/percent))
}

// DutyMilli returns the share of time in which a pool surges, in thousandths.
func DutyMilli(d fleet.Demand) int64 {
	return min(thousand, d.MeanMilli*thousand/max(1, d.PeakMilli))
}

// MeanNeed returns the number of VMs that carry a pool's mean load with headroom.
func MeanNeed(d fleet.Demand) int {
	return ceilVMs(d.MeanMilli * meanMarginPercent / percent)
}

func ceilVMs(milli int64) int {
	return int((milli + thousand - 1) / thousand)
}
