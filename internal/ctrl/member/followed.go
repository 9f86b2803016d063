package member

import "context"

// followed is the leader that this process follows, or followed last if none is known.
type followed struct {
	leader string
	term   uint64
	// ended is done once another leader is followed; end ends it.
	ended context.Context
	end   context.CancelFunc
}

func newFollowed(leader string, term uint64) *followed {
	f := &followed{leader: leader, term: term}
	f.ended, f.end = context.WithCancel(context.Background())
	return f
}

// follow ends the waits for the former leader if a route leads to another one; it comes before the route is published.
func (m *Membership) follow(r *Route) {
	former := m.followed.Load()
	if r.Address == "" || r.Leader == former.leader && r.Term == former.term {
		return
	}
	m.followed.Store(newFollowed(r.Leader, r.Term))
	former.end()
}

// OnSuperseded calls f in a goroutine of its own once another leader can be reached than that of a term, at once if one can
// already. It returns a function that stops waiting; any goroutine may call both.
func (m *Membership) OnSuperseded(term uint64, f func()) (stop func() bool) {
	current := m.followed.Load()
	if current.leader != "" && current.term != term {
		f()
		return func() bool { return false }
	}
	return context.AfterFunc(current.ended, f)
}
