package fleet

// Team is a group of callers and jobs that shares a quota.
type Team struct {
	// Name identifies the team.
	Name string
	// Weight is the team's share under overload, relative to the weights of other teams.
	Weight int
	// Quota bounds the resources that all jobs of the team may use together.
	Quota Size
}
