// Package lease renews the leases of entries on the leader. A renewal is
// answered only after a quorum has confirmed the leader since it came in, so
// that a leader that was cut off renews nobody.
//
// Every grant carries what changed in the replicated state since the index
// that the entry knows. A lease that was granted before a change was committed
// lapses at most one lease length later, whichever replica granted it; each
// replica counts that time from when it first saw the change, so that a change
// of leader needs no hand-over.
package lease
