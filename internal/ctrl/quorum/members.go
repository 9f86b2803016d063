package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalidMembers is returned for an invalid membership change or transfer.
var ErrInvalidMembers = errors.New("the members can't be changed so")

// ChangeKind is the kind of a membership change; the zero value is invalid.
type ChangeKind int

const (
	// ChangeAdd adds a learner and removes any other learner of the same name.
	ChangeAdd ChangeKind = iota + 1 // add
	// ChangePromote makes a learner a voter.
	ChangePromote // promote
	// ChangeRemove removes a member.
	ChangeRemove // remove
)

// Change is a single-server membership change.
type Change struct {
	Kind ChangeKind
	// Member is the member to change, found by ID; Name is needed by ChangeAdd only.
	Member Member
}

// membership is the configuration that applies from an index on.
type membership struct {
	index   uint64
	members []Member
}

// Members returns a copy of the latest configuration in the log, committed or not.
func (r *Replica) Members() []Member {
	return slices.Clone(r.members())
}

// ProposeChange appends a membership change to the log. It returns ErrNotLeader, ErrInvalidMembers for an invalid
// change, and ErrBusy while another change is uncommitted or while this one would be unsafe.
func (r *Replica) ProposeChange(c Change) (Position, error) {
	if err := r.checkProposable(); err != nil {
		return Position{}, err
	}
	if r.memberships[len(r.memberships)-1].index > r.commit || !r.committedInTerm() {
		return Position{}, errors.Wrap(ErrBusy, "another change of the members is under way")
	}
	members, err := r.membersAfter(c)
	if err != nil {
		return Position{}, err
	}
	return r.propose(Entry{Kind: EntryMembers, Members: members}), nil
}

func (r *Replica) membersAfter(c Change) ([]Member, error) {
	members := r.Members()
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == c.Member.ID })
	switch {
	case c.Kind == ChangeAdd && at < 0:
		members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Name == c.Member.Name })
		return append(members, Member{ID: c.Member.ID, Name: c.Member.Name}), nil
	case c.Kind == ChangeAdd:
		return nil, errors.Wrapf(ErrInvalidMembers, "%s is a member already", members[at].Name)
	case at < 0:
		return nil, errors.Wrapf(ErrInvalidMembers, "no member has the identity %016x", uint64(c.Member.ID))
	case c.Kind == ChangePromote:
		return r.membersAfterPromotion(members, at)
	default:
		return r.membersAfterRemoval(members, at)
	}
}

func (r *Replica) membersAfterPromotion(members []Member, at int) ([]Member, error) {
	m := members[at]
	if m.Voter {
		return nil, errors.Wrapf(ErrInvalidMembers, "%s votes already", m.Name)
	}
	if slices.ContainsFunc(members, func(o Member) bool { return o.Voter && o.Name == m.Name }) {
		return nil, errors.Wrapf(ErrInvalidMembers, "the old identity of %s still votes; remove it first", m.Name)
	}
	if !r.CaughtUp(m.ID) {
		return nil, errors.Wrapf(ErrBusy, "%s has not caught up", m.Name)
	}
	members[at].Voter = true
	return members, nil
}

func (r *Replica) membersAfterRemoval(members []Member, at int) ([]Member, error) {
	m := members[at]
	if m.ID == r.id {
		return nil, errors.Wrapf(ErrInvalidMembers, "%s leads; transfer the leadership first", m.Name)
	}
	members = slices.Delete(members, at, at+1)
	live := 0
	voters := votersOf(members)
	for _, id := range voters {
		if id == r.id || r.peers[id].recentlyActive(r.options.ElectionTicks) {
			live++
		}
	}
	if m.Voter && live <= len(voters)/2 {
		return nil, errors.Wrapf(ErrBusy, "without %s only %d of %d voters would be heard", m.Name, live, len(voters))
	}
	return members, nil
}

// CaughtUp reports whether another member has synced all committed entries and was heard within the election timeout. It
// is always false on a replica that doesn't lead.
func (r *Replica) CaughtUp(id ReplicaID) bool {
	p, ok := r.peers[id]
	return r.role == RoleLeader && ok && p.match >= r.commit && p.recentlyActive(r.options.ElectionTicks)
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

func (r *Replica) isVoter(id ReplicaID) bool {
	return slices.Contains(r.voters(), id)
}

// membersAt returns the configuration at index.
func (r *Replica) membersAt(index uint64) []Member {
	for i := len(r.memberships) - 1; i > 0; i-- {
		if r.memberships[i].index <= index {
			return r.memberships[i].members
		}
	}
	return r.memberships[0].members
}

// trackMembers records the configuration in an appended entry.
func (r *Replica) trackMembers(e Entry) {
	if e.Kind == EntryMembers {
		r.memberships = append(r.memberships, membership{index: e.Index, members: e.Members})
	}
}

// truncateMemberships drops the configurations of the truncated entries after index.
func (r *Replica) truncateMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index > index {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

// compactMemberships drops configurations that no longer apply at a compacted index.
func (r *Replica) compactMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[1].index <= index {
		r.memberships = r.memberships[1:]
	}
}

// MemberStatus is the replication status of one member.
type MemberStatus struct {
	Member Member
	// Leader is true for the current leader.
	Leader bool
	// Synced is the last index known to be synced by the member.
	Synced uint64
	// CaughtUp means that the member has synced all committed entries and was heard recently.
	CaughtUp bool
	// Heard means that the member was heard within the minimum election timeout.
	Heard bool
}

// MemberStatuses returns the status of all members; only a leader knows the progress of the others.
func (r *Replica) MemberStatuses() []MemberStatus {
	var all []MemberStatus
	for _, m := range r.members() {
		s := MemberStatus{Member: m, Leader: m.ID == r.leader}
		if m.ID == r.id {
			s.Synced, s.Heard, s.CaughtUp = r.synced, true, r.synced >= r.commit
		} else if p, ok := r.peers[m.ID]; ok {
			s.Synced, s.Heard, s.CaughtUp = p.match, p.recentlyActive(r.options.ElectionTicks), r.CaughtUp(m.ID)
		}
		all = append(all, s)
	}
	return all
}

// MembersIndex returns the index of the entry that holds the latest configuration.
func (r *Replica) MembersIndex() uint64 {
	return r.memberships[len(r.memberships)-1].index
}
