package fleet

import "time"

// Demand is the load that a pool's services put on it, learned from entries' reports. Loads are in thousandths of a VM.
type Demand struct {
	// Pool is the name of the pool.
	Pool string
	// MeanMilli is the moving average of the load over some minutes.
	MeanMilli int64
	// PeakMilli is the highest recent load; it decays while no sample reaches it.
	PeakMilli int64
	// CurrentMilli is the load at the last sample. Not every sample is replicated, so the replicated value lags behind.
	CurrentMilli int64
	// LongestSurgeMS is the longest time for which the load stayed above twice its mean, in milliseconds.
	LongestSurgeMS int64
	// CurrentSurgeMS is how long the load has been above twice its mean by now, in milliseconds; 0 while it is not.
	CurrentSurgeMS int64
	// Updated is the time of the last sample; zero before the first.
	Updated time.Time
}
