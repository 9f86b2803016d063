package fleet

// Report is what one entry saw of one service since it started; the counts only rise.
type Report struct {
	// Service is the service's name.
	Service string
	// Answered counts requests that were answered.
	Answered uint64
	// NotRun counts requests that were not run.
	NotRun uint64
	// Unknown counts requests that may have run.
	Unknown uint64
	// InProgress is the requests at endpoints at the time of the report.
	InProgress int
	// Queued is the requests that waited at the time of the report.
	Queued int
}
