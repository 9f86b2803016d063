package opcli

import (
	"context"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/peer"
)

// memberPollInterval is the time between polls of a member's progress, and between retries of a membership change.
const memberPollInterval = 200 * time.Millisecond

// ReplicaCommand holds the subcommands for the replicas of the control role.
type ReplicaCommand struct {
	List     *ReplicaListCommand     `arg:"subcommand:list" help:"show the replicas and the progress of each"`
	Replace  *ReplicaReplaceCommand  `arg:"subcommand:replace" help:"replace a process's lost replica by its new, empty one"`
	Remove   *ReplicaRemoveCommand   `arg:"subcommand:remove" help:"remove a process's replica"`
	Transfer *ReplicaTransferCommand `arg:"subcommand:transfer" help:"transfer the leadership to a process, before a planned stop of the leader"`
}

// ReplicaListCommand lists the replicas with their role and state.
type ReplicaListCommand struct{}

// ReplicaReplaceCommand replaces a process's lost replica by its new one.
type ReplicaReplaceCommand struct {
	Name string `arg:"positional,required" help:"name of the process; it runs on an empty data folder"`
}

// ReplicaRemoveCommand removes a process's replica.
type ReplicaRemoveCommand struct {
	Name string `arg:"positional,required" help:"name of the process"`
}

// ReplicaTransferCommand transfers the leadership to a process's replica.
type ReplicaTransferCommand struct {
	Name string `arg:"positional,required" help:"name of the process that is to lead"`
}

func (r *ReplicaCommand) run(ctx context.Context, c *cli) error {
	switch {
	case r.List != nil:
		return c.listReplicas(ctx)
	case r.Replace != nil:
		return c.replaceReplica(ctx, r.Replace.Name)
	case r.Remove != nil:
		return c.removeReplica(ctx, r.Remove.Name)
	case r.Transfer != nil:
		return c.transferLeadership(ctx, r.Transfer.Name)
	default:
		return &usageError{err: errors.New("replica needs a command; see cowslip replica --help")}
	}
}

// listMembers returns the leader's view of the members.
func (c *cli) listMembers(ctx context.Context) (*peer.MembersListResponse, error) {
	response, err := c.members.List(ctx, connect.NewRequest(&peer.MembersListRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "list replicas")
	}
	return response.Msg, nil
}

// findMember returns the first voter or, if voter is false, learner with a name; nil if there is none.
func findMember(l *peer.MembersListResponse, name string, voter bool) *peer.MemberStatus {
	at := slices.IndexFunc(l.GetMembers(), func(m *peer.MemberStatus) bool {
		return m.GetMember().GetName() == name && m.GetMember().GetVoter() == voter
	})
	if at < 0 {
		return nil
	}
	return l.GetMembers()[at]
}

// changeMember makes a membership change, and retries while the leader accepts none at present.
func (c *cli) changeMember(ctx context.Context, kind quorum.ChangeKind, m *peer.Member) error {
	for {
		_, err := c.members.Change(ctx, connect.NewRequest(&peer.MembersChangeRequest{Kind: uint32(kind), Member: m}))
		busy := err != nil && connect.CodeOf(err) == connect.CodeResourceExhausted
		if !busy || !sleep(ctx, clock.System{}, memberPollInterval) {
			return errors.Wrapf(err, "%s %s", kind, m.GetName())
		}
	}
}

func (c *cli) listReplicas(ctx context.Context) error {
	l, err := c.listMembers(ctx)
	if err != nil {
		return err
	}
	if c.arguments.JSON {
		return c.writeJSON(l)
	}
	w := newTable(c.out)
	fmt.Fprintln(w, "REPLICA\tIDENTITY\tROLE\tSYNCED\tSTATE")
	for _, m := range l.GetMembers() {
		fmt.Fprintf(w, "%s\t%016x\t%s\t%d\t%s\n", m.GetMember().GetName(), m.GetMember().GetId(), roleOf(m), m.GetSynced(), stateOf(m))
	}
	return errors.Wrap(w.Flush(), "write replicas")
}

func roleOf(m *peer.MemberStatus) string {
	switch {
	case m.GetLeader():
		return "leader"
	case m.GetMember().GetVoter():
		return "voter"
	default:
		return "learner"
	}
}

func stateOf(m *peer.MemberStatus) string {
	switch {
	case m.GetCaughtUp():
		return "caught up"
	case m.GetHeard():
		return "behind"
	default:
		return "not heard"
	}
}

// replaceReplica waits until the new replica has caught up, then removes the lost one and promotes the new one to
// voter.
func (c *cli) replaceReplica(ctx context.Context, name string) error {
	learner, err := c.awaitLearner(ctx, name)
	if err != nil {
		return err
	}
	l, err := c.listMembers(ctx)
	if err != nil {
		return err
	}
	if old := findMember(l, name, true); old != nil {
		if err := c.changeMember(ctx, quorum.ChangeRemove, old.GetMember()); err != nil {
			return err
		}
	}
	if err := c.changeMember(ctx, quorum.ChangePromote, learner.GetMember()); err != nil {
		return errors.Wrap(err, "the lost replica is removed, but the new one does not vote yet; run the command again")
	}
	_, err = fmt.Fprintf(c.out, "%s votes under the identity %016x\n", name, learner.GetMember().GetId())
	return err
}

func (c *cli) awaitLearner(ctx context.Context, name string) (*peer.MemberStatus, error) {
	// missing is why the last list didn't do.
	var missing error
	for {
		l, err := c.listMembers(ctx)
		if err != nil && ctx.Err() != nil && missing != nil {
			// The time ran out during a list.
			return nil, missing
		}
		if err != nil {
			return nil, err
		}
		m := findMember(l, name, false)
		switch {
		case m == nil:
			missing = errors.Newf("%s has no new replica; start its process on an empty data folder", name)
		case m.GetCaughtUp():
			return m, nil
		default:
			missing = errors.Newf("the new replica of %s has not caught up", name)
		}
		if !sleep(ctx, clock.System{}, memberPollInterval) {
			return nil, missing
		}
	}
}

func (c *cli) removeReplica(ctx context.Context, name string) error {
	l, err := c.listMembers(ctx)
	if err != nil {
		return err
	}
	m := findMember(l, name, true)
	if m == nil {
		m = findMember(l, name, false)
	}
	if m == nil {
		return &usageError{err: errors.Newf("no replica is named %q", name)}
	}
	if err := c.changeMember(ctx, quorum.ChangeRemove, m.GetMember()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s removed, identity %016x\n", name, m.GetMember().GetId())
	return err
}

func (c *cli) transferLeadership(ctx context.Context, name string) error {
	l, err := c.listMembers(ctx)
	if err != nil {
		return err
	}
	m := findMember(l, name, true)
	if m == nil {
		return &usageError{err: errors.Newf("no voter is named %q", name)}
	}
	if !m.GetLeader() {
		request := &peer.MembersTransferRequest{Id: m.GetMember().GetId()}
		if _, err := c.members.Transfer(ctx, connect.NewRequest(request)); err != nil {
			return errors.Wrap(err, "transfer")
		}
		if l, err = c.listMembers(ctx); err != nil {
			return err
		}
		if m = findMember(l, name, true); m == nil || !m.GetLeader() {
			return errors.Newf("%s is not the leader after the transfer", name)
		}
	}
	_, err = fmt.Fprintf(c.out, "%s leads\n", name)
	return err
}
