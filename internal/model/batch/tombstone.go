package batch

// Tombstone stands for a job that was cancelled though it wasn't known: if its submission comes later, the job doesn't run.
type Tombstone struct {
	// JobID is the identity of the job.
	JobID string
	// Account is the client account whose job is cancelled; empty for callers without an account.
	Account string
	// AllAccounts is set if the job of any account is cancelled; Account is then empty.
	AllAccounts bool
}
