package quorum

// Read requests a quorum's confirmation that this replica still leads; the returned number appears in Output.Reads once it
// is confirmed. It returns ErrNotLeader if this replica doesn't lead.
func (r *Replica) Read() (uint64, error) {
	if r.role != RoleLeader {
		return 0, ErrNotLeader
	}
	r.readsRequested++
	r.confirmReads()
	return r.readsRequested, nil
}

// confirmReads outputs the reads that a quorum has confirmed, once an entry of the current term is committed.
func (r *Replica) confirmReads() {
	if r.role != RoleLeader || !r.committedInTerm() {
		return
	}
	own := r.readsSent
	if len(r.voters()) == 1 {
		own = r.readsRequested
		r.readsSent = r.readsRequested
	}
	heard := r.reachedByQuorum(func(p *progress) uint64 { return p.context }, own)
	for r.readsConfirmed < heard {
		r.readsConfirmed++
		r.out.Reads = append(r.out.Reads, r.readsConfirmed)
	}
}
