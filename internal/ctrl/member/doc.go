// Package member knows the system's processes without a list of them: from
// seeds, and from what the processes tell each other. On the leader it keeps
// the replicas that vote in step with the processes that are there.
package member
