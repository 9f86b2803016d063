package quorum

// pendingWrite is a write that is not synced yet.
type pendingWrite struct {
	sequence uint64
	last     uint64
	hard     HardState
}

func (r *Replica) takeWrite() *Write {
	w := r.pendingSnapshot
	r.pendingSnapshot = nil
	if r.written < r.log.last() {
		if w == nil {
			w = &Write{}
		}
		w.Entries = r.log.entriesBetween(r.written, r.log.last())
		r.written = r.log.last()
	}
	if r.hard != r.writtenHard {
		if w == nil {
			w = &Write{}
		}
		hard := r.hard
		w.Hard = &hard
		r.writtenHard = r.hard
	}
	if w == nil {
		return nil
	}
	r.sequence++
	w.Sequence = r.sequence
	r.writes = append(r.writes, pendingWrite{sequence: w.Sequence, last: r.written, hard: r.writtenHard})
	return w
}

// Persisted reports that all writes up to sequence are synced.
func (r *Replica) Persisted(sequence uint64) {
	for len(r.writes) > 0 && r.writes[0].sequence <= sequence {
		r.synced = max(r.synced, r.writes[0].last)
		r.syncedHard = r.writes[0].hard
		r.writes = r.writes[1:]
	}
	if r.hard == r.syncedHard {
		r.out.Messages = append(r.out.Messages, r.heldMessages...)
		r.heldMessages = nil
	}
	switch r.role {
	case RoleLeader:
		r.advanceCommit()
	case RoleCandidate:
		if r.syncedHard == r.hard {
			r.recordVote(r.id, true)
		}
	case RoleFollower:
		r.acknowledge()
	default:
	}
}

// rewindSynced lowers the written and synced indexes to at most index, also for writes in progress, whose
// entries may be replaced before they finish.
func (r *Replica) rewindSynced(index uint64) {
	r.written = min(r.written, index)
	r.synced = min(r.synced, index)
	for i := range r.writes {
		r.writes[i].last = min(r.writes[i].last, index)
	}
}
