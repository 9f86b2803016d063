package spare

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

const (
	// thousand is the unit of load: thousandths of a VM.
	thousand = 1000
	// meanWindow is the time that the mean load is averaged over.
	meanWindow = 10 * time.Minute
	// peakWindow is the time in which a peak that isn't reached again is forgotten.
	peakWindow = 48 * time.Hour
	// surgeFactor is how far above its mean a load is a surge.
	surgeFactor = 2
	// waitShare is the part of a deadline that a request may spend waiting: one half.
	waitShare = 2
	// meanMargin is the headroom over the mean load, in percent.
	meanMargin = 125
	percent    = 100
)

// Learn returns the demand after a sample that stands for an interval.
func Learn(d fleet.Demand, sampleMilli int64, interval time.Duration, now time.Time) fleet.Demand {
	if d.Updated.IsZero() {
		return fleet.Demand{Pool: d.Pool, MeanMilli: sampleMilli, PeakMilli: sampleMilli, NowMilli: sampleMilli, Updated: now}
	}
	step := min(interval, meanWindow)
	d.MeanMilli += towards(sampleMilli-d.MeanMilli, step)
	d.PeakMilli = max(sampleMilli, d.PeakMilli-d.PeakMilli*int64(min(interval, peakWindow))/int64(peakWindow))
	if sampleMilli > surgeFactor*d.MeanMilli {
		d.RunMS += interval.Milliseconds()
		d.SurgeMS = max(d.SurgeMS, d.RunMS)
	} else {
		d.RunMS = 0
	}
	d.NowMilli, d.Updated = sampleMilli, now
	return d
}

// towards returns the part of a difference that one interval makes up for; it is never rounded to nothing.
func towards(difference int64, step time.Duration) int64 {
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

// OfferedMilli returns the load in thousandths of a VM that requests in progress and the change of the queue stand for.
func OfferedMilli(inProgress, queuedMore, answered int64, slots int64) int64 {
	load := inProgress * thousand
	if answered > 0 {
		// What queues up would be in progress for as long as what was answered; what is worked off was offered before.
		load += load * queuedMore / answered
	}
	return max(0, load/max(1, slots))
}

// Need returns the VMs that carry a pool's surges with requests waiting for up to half their deadline.
func Need(d fleet.Demand, deadline time.Duration) int {
	wait := deadline.Milliseconds() / waitShare
	surge := d.PeakMilli
	if d.SurgeMS > 0 {
		// The backlog at the end of a surge is worked off within the wait: c >= p * s / (s + w).
		surge = d.PeakMilli * d.SurgeMS / (d.SurgeMS + wait)
	}
	return ceilVMs(max(surge, d.MeanMilli*meanMargin/percent))
}

// DutyMilli returns the share of time in which a pool surges, in thousandths.
func DutyMilli(d fleet.Demand) int64 {
	return min(thousand, d.MeanMilli*thousand/max(1, d.PeakMilli))
}

// MeanNeed returns the VMs that carry a pool's mean load.
func MeanNeed(d fleet.Demand) int {
	return ceilVMs(d.MeanMilli * meanMargin / percent)
}

func ceilVMs(milli int64) int {
	return int((milli + thousand - 1) / thousand)
}
