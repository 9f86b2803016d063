package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrMembers says that a change of the members can't be made.
var ErrMembers = errors.New("the members can't be changed so")

// ChangeKind is what a change does to the members; the zero value is not valid.
type ChangeKind int

const (
	// ChangeAdd adds a learner; another learner of the same name goes.
	ChangeAdd ChangeKind = iota + 1 // add
	// ChangePromote makes a learner a voter.
	ChangePromote // promote
	// ChangeRemove removes a member.
	ChangeRemove // remove
)

// Change is one change of the members.
type Change struct {
	// Kind is what the change does.
	Kind ChangeKind
	// Member is whom it is about; the name is needed for an addition only.
	Member Member
}

// membership is the members that hold from an index on.
type membership struct {
	index   uint64
	members []Member
}

// Members returns the members that hold at present, by the latest entry of the log.
func (r *Replica) Members() []Member {
	return slices.Clone(r.members())
}

// ProposeChange adds a change of the members to the log; one is made at a time.
func (r *Replica) ProposeChange(c Change) (Position, error) {
	if err := r.proposable(); err != nil {
		return Position{}, err
	}
	if r.memberships[len(r.memberships)-1].index > r.commit || !r.committedInTerm() {
		return Position{}, errors.Wrap(ErrBusy, "another change of the members is under way")
	}
	members, err := r.changed(c)
	if err != nil {
		return Position{}, err
	}
	return r.propose(Entry{Kind: EntryMembers, Members: members}), nil
}

func (r *Replica) changed(c Change) ([]Member, error) {
	members := r.Members()
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == c.Member.ID })
	switch {
	case c.Kind == ChangeAdd && at < 0:
		members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Name == c.Member.Name })
		return append(members, Member{ID: c.Member.ID, Name: c.Member.Name}), nil
	case c.Kind == ChangeAdd:
		return nil, errors.Wrapf(ErrMembers, "%s is a member already", members[at].Name)
	case at < 0:
		return nil, errors.Wrapf(ErrMembers, "no member has the identity %016x", uint64(c.Member.ID))
	case c.Kind == ChangePromote:
		return r.promoted(members, at)
	default:
		return r.removed(members, at)
	}
}

func (r *Replica) promoted(members []Member, at int) ([]Member, error) {
	m := members[at]
	if m.Voter {
		return nil, errors.Wrapf(ErrMembers, "%s votes already", m.Name)
	}
	if slices.ContainsFunc(members, func(o Member) bool { return o.Voter && o.Name == m.Name }) {
		return nil, errors.Wrapf(ErrMembers, "the old identity of %s still votes; remove it first", m.Name)
	}
	if !r.CaughtUp(m.ID) {
		return nil, errors.Wrapf(ErrBusy, "%s has not caught up", m.Name)
	}
	members[at].Voter = true
	return members, nil
}

func (r *Replica) removed(members []Member, at int) ([]Member, error) {
	m := members[at]
	if m.ID == r.id {
		return nil, errors.Wrapf(ErrMembers, "%s leads; transfer the leadership first", m.Name)
	}
	members = slices.Delete(members, at, at+1)
	live := 0
	voters := votersOf(members)
	for _, id := range voters {
		if id == r.id || r.peers[id].live(r.options.ElectionTicks) {
			live++
		}
	}
	if m.Voter && live <= len(voters)/2 {
		return nil, errors.Wrapf(ErrBusy, "without %s only %d of %d voters would be heard", m.Name, live, len(voters))
	}
	return members, nil
}

// CaughtUp says whether a member has synced all that is committed and was heard of late; only a leader knows.
func (r *Replica) CaughtUp(id ReplicaID) bool {
	p, ok := r.peers[id]
	return r.role == RoleLeader && ok && p.match >= r.commit && p.live(r.options.ElectionTicks)
}

func (r *Replica) members() []Member {
	return r.memberships[len(r.memberships)-1].members
}

func (r *Replica) voters() []ReplicaID {
	return votersOf(r.members())
}

func votersOf(members []Member) []ReplicaID {
	var ids []ReplicaID
	for _, m := range members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (r *Replica) votes(id ReplicaID) bool {
	return slices.Contains(r.voters(), id)
}

// membersAt returns the members that hold at an index.
func (r *Replica) membersAt(index uint64) []Member {
	for i := len(r.memberships) - 1; i > 0; i-- {
		if r.memberships[i].index <= index {
			return r.memberships[i].members
		}
	}
	return r.memberships[0].members
}

// note takes the members of an entry that was added to the log.
func (r *Replica) note(e Entry) {
	if e.Kind == EntryMembers {
		r.memberships = append(r.memberships, membership{index: e.Index, members: e.Members})
	}
}

// forget drops the members of entries after an index, which were cut.
func (r *Replica) forget(index uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index > index {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

// fold drops members that no longer hold at a compacted index.
func (r *Replica) fold(index uint64) {
	for len(r.memberships) > 1 && r.memberships[1].index <= index {
		r.memberships = r.memberships[1:]
	}
}

// Standing is what a leader knows of one member.
type Standing struct {
	// Member is the member.
	Member Member
	// Leader says whether the member leads.
	Leader bool
	// Synced is the index up to which the member has synced the log.
	Synced uint64
	// CaughtUp says whether the member has synced all that is committed and was heard of late.
	CaughtUp bool
	// Heard says whether the member was heard of late.
	Heard bool
}

// Standings returns what this replica knows of the members; only a leader knows how far the others have come.
func (r *Replica) Standings() []Standing {
	var all []Standing
	for _, m := range r.members() {
		s := Standing{Member: m, Leader: m.ID == r.leader}
		if m.ID == r.id {
			s.Synced, s.Heard, s.CaughtUp = r.synced, true, r.synced >= r.commit
		} else if p, ok := r.peers[m.ID]; ok {
			s.Synced, s.Heard, s.CaughtUp = p.match, p.live(r.options.ElectionTicks), r.CaughtUp(m.ID)
		}
		all = append(all, s)
	}
	return all
}

// MembersIndex returns the index of the entry that made the present members.
func (r *Replica) MembersIndex() uint64 {
	return r.memberships[len(r.memberships)-1].index
}
