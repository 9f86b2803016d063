package fleet

// Team is a group of callers and jobs with a quota.
type Team struct {
	// Name is the team's name.
	Name string
	// Weight is the team's share under overload, relative to the others.
	Weight int
	// Quota is what the team's jobs may use.
	Quota Size
}
