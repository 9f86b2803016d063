// Package lease grants and renews the leases of entries on the leader. A
// renewal is answered only after a quorum has confirmed the leader since the
// renewal arrived, so that a partitioned leader renews no lease.
//
// Every grant carries what has changed in the replicated state since the log
// index that the entry knows. A lease that was granted before a change was
// committed lapses at most one lease length later, whichever replica granted
// it. Each replica counts that time from when it first saw the change, so that
// a new leader needs no data from the old one.
package lease
