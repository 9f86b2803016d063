package fleet

import "time"

// Demand is what a pool's services ask of it, learned from reports; amounts are in thousandths of a VM.
type Demand struct {
	// Pool is the pool's name.
	Pool string
	// MeanMilli is the load averaged over some minutes.
	MeanMilli int64
	// PeakMilli is the highest load lately.
	PeakMilli int64
	// NowMilli is the load at the time of the last sample; it is not replicated.
	NowMilli int64
	// SurgeMS is the longest time that the load stayed above twice its mean.
	SurgeMS int64
	// RunMS is how long the load has been above twice its mean.
	RunMS int64
	// Updated is when the figures were last taken.
	Updated time.Time
}
