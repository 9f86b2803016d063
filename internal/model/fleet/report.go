package fleet

// ServiceReport is one entry's view of one service. Answered, NotRun and Unknown count from the entry's start and only
// rise.
type ServiceReport struct {
	// Service is the name of the service.
	Service string
	// Answered counts requests with a complete answer.
	Answered uint64
	// NotRun counts requests that were not run.
	NotRun uint64
	// Unknown counts requests that may have run.
	Unknown uint64
	// InProgress is the number of requests at endpoints at the time of the report.
	InProgress int
	// Queued is the number of requests in the entry's queue at the time of the report.
	Queued int
}

// ReportsByService returns reports by the name of their service.
func ReportsByService(reports []ServiceReport) map[string]ServiceReport {
	byService := make(map[string]ServiceReport, len(reports))
	for _, r := range reports {
		byService[r.Service] = r
	}
	return byService
}
