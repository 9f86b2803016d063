package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

const (
	// maxTombstones bounds the cancels of unknown jobs that are remembered; each takes about 200 bytes of memory.
	maxTombstones = 16_384
	// maxAccountTombstones bounds those of one client account where callers need keys, so that none uses up the room of others.
	maxAccountTombstones = 4096
)

// cancelUnknown answers the cancel of a job that isn't known to the caller. Its submission may still be under way: the answer
// promises that the job won't run, so the cancel is remembered first.
func (s *Scheduler) cancelUnknown(c *batch.Call, id string, reply func(batch.Reply)) {
	gone := batch.Reply{Code: batch.CodeGone, Detail: "no such job"}
	if !s.active || !batch.ValidID(id) {
		s.replyWhenConfirmed(reply, func() batch.Reply { return gone })
		return
	}
	t := s.tombstoneOf(c, id)
	if !s.hasTombstoneRoom(t) {
		if s.options.Log.Batch().TombstonesExpired(s.term, s.now()) {
			// There is room for the next one.
			s.proposals.pending.ExpireTombstones = true
			s.flush()
		}
		tombstonesRefusedTotal.Inc()
		s.options.Logger.Warn("cancel_refused", zap.String("job", id), zap.String("account", t.Account),
			zap.Int("remembered", len(s.options.Log.Batch().State().Tombstones)), zap.Uint64("term", s.term))
		reply(batch.Reply{Code: batch.CodeOverloaded, Detail: "too many cancels of unknown jobs are remembered"})
		return
	}
	tombstonesTotal.Inc()
	s.options.Logger.Info("job_cancelled_ahead", zap.String("job", id), zap.String("account", t.Account),
		zap.Bool("all_accounts", t.AllAccounts), zap.Uint64("term", s.term))
	burials := s.burials
	burials.add(t)
	s.proposals.pending.Tombstones = append(s.proposals.pending.Tombstones, t)
	s.replyWhenCommitted(func(r batch.Reply) {
		burials.remove(t)
		reply(r)
	}, gone)
}

// tombstoneOf returns the tombstone that the cancel of an unknown job leaves. It concerns the caller's own jobs; those of any
// account where an operator cancels, or where jobs have no accounts.
func (s *Scheduler) tombstoneOf(c *batch.Call, id string) batch.Tombstone {
	if c.Operator || !s.currentConfiguration().RequiresKeys {
		return batch.Tombstone{JobID: id, AllAccounts: true}
	}
	return batch.Tombstone{JobID: id, Account: s.callerOf(c)}
}

// hasTombstoneRoom reports whether a tombstone can be recorded within the limits; one that is recorded takes no more room.
func (s *Scheduler) hasTombstoneRoom(t batch.Tombstone) bool {
	machine := s.options.Log.Batch()
	if machine.HasTombstone(t) || s.burials.calls[t] > 0 {
		return true
	}
	own, all := machine.CountTombstones(t.Account)
	return all+len(s.burials.calls) < maxTombstones && (t.AllAccounts || own+s.burials.byAccount[t.Account] < maxAccountTombstones)
}

// burials are the tombstones that are proposed and not yet recorded.
type burials struct {
	// calls counts, by tombstone, the cancels that wait for it, and byAccount the tombstones of each account.
	calls     map[batch.Tombstone]int
	byAccount map[string]int
}

func newBurials() *burials {
	return &burials{calls: map[batch.Tombstone]int{}, byAccount: map[string]int{}}
}

func (b *burials) add(t batch.Tombstone) {
	if b.calls[t]++; b.calls[t] == 1 {
		b.byAccount[t.Account]++
	}
}

func (b *burials) remove(t batch.Tombstone) {
	if b.calls[t]--; b.calls[t] > 0 {
		return
	}
	delete(b.calls, t)
	if b.byAccount[t.Account]--; b.byAccount[t.Account] == 0 {
		delete(b.byAccount, t.Account)
	}
}
