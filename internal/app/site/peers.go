package site

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/edge/proxy"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

// transport sends messages of the replicated log. It may be used on the control loop only.
type transport struct {
	connections *link.Connections
	membership  *member.Membership
	// processes maps replicas to the names of their processes.
	processes map[quorum.ReplicaID]string
}

// SetProcess records which process runs a replica; an empty name is ignored.
func (t *transport) SetProcess(id quorum.ReplicaID, name string) {
	if name != "" {
		t.processes[id] = name
	}
}

// Send sends messages; those to replicas without a known address are dropped.
func (t *transport) Send(messages []quorum.Message) {
	byAddress := map[string][]quorum.Message{}
	for _, m := range messages {
		address := t.membership.ReplicaAddress(m.To)
		if address == "" {
			address = t.membership.Address(t.processes[m.To])
		}
		if address != "" {
			byAddress[address] = append(byAddress[address], m)
		}
	}
	for address, batch := range byAddress {
		t.connections.Send(address, quorumFrame(batch))
	}
}

func quorumFrame(messages []quorum.Message) *peer.Link {
	return &peer.Link{Body: &peer.Link_Quorum{Quorum: &peer.LinkQuorum{Messages: codec.MessagesToWire(messages)}}}
}

// peerHandler handles messages and calls from other processes.
type peerHandler struct {
	loop       *loop.Loop
	node       *node.Node
	membership *member.Membership
	local      proxy.Local
	uptime     clock.Uptime
	logger     *zap.Logger
	// transport is nil if this process has no disk.
	transport *transport
}

// Deliver handles messages of the replicated log and returns the immediate answers, or nil if there are none.
func (h *peerHandler) Deliver(ctx context.Context, f *peer.Link) *peer.Link {
	messages := codec.MessagesFromWire(f.GetQuorum().GetMessages())
	if h.node == nil || len(messages) == 0 {
		return nil
	}
	answers, err := h.node.Deliver(ctx, "", messages)
	if err != nil {
		h.logger.Debug("messages_lost", zap.Error(err))
		return nil
	}
	if len(answers) == 0 {
		return nil
	}
	return quorumFrame(answers)
}

// send sends messages from the control loop. If the loop is full they are dropped; the log tolerates lost messages.
func (h *peerHandler) send(messages []quorum.Message) {
	if err := h.loop.TryPost(func() { h.transport.Send(messages) }); err != nil {
		h.logger.Debug("messages_lost", zap.Error(err))
	}
}

// answerTimeout bounds the handling of a call from another process.
const answerTimeout = 2 * time.Second

// Answer handles a call from another process; nil means that it gets no answer.
func (h *peerHandler) Answer(ctx context.Context, f *peer.Link) *peer.Link {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	switch body := f.GetBody().(type) {
	case *peer.Link_Hello:
		return h.handleHello(ctx, body.Hello)
	case *peer.Link_Request:
		reply, err := h.local.Do(ctx, codec.CallFromWire(body.Request))
		if err != nil {
			// The calling process has given up by now; without an answer it treats the outcome as unknown.
			return nil
		}
		return &peer.Link{Body: &peer.Link_Reply{Reply: codec.ReplyToWire(&reply)}}
	default:
		h.logger.Warn("call_not_known")
		return nil
	}
}

// handleHello handles a hello and answers with this process's own.
func (h *peerHandler) handleHello(ctx context.Context, m *peer.LinkHello) *peer.Link {
	var own member.Hello
	hello := helloFromWire(m)
	err := h.loop.Call(ctx, func() {
		h.membership.HandleHello(&hello, h.uptime.Milliseconds())
		own = h.makeHello()
	})
	if err != nil {
		return nil
	}
	return &peer.Link{Body: &peer.Link_Hello{Hello: helloToWire(&own)}}
}

// makeHello returns the hello for other processes. It runs on the control loop.
func (h *peerHandler) makeHello() member.Hello {
	return h.membership.MakeHello(h.uptime.Milliseconds())
}

func helloToWire(h *member.Hello) *peer.LinkHello {
	w := &peer.LinkHello{
		Self: processToWire(h.Self), Leader: h.Leader, Term: h.Term, Founder: h.Founder,
	}
	for _, p := range h.Known {
		w.Known = append(w.Known, processToWire(p))
	}
	return w
}

func helloFromWire(w *peer.LinkHello) member.Hello {
	h := member.Hello{
		Self: processFromWire(w.GetSelf()), Leader: w.GetLeader(), Term: w.GetTerm(), Founder: w.GetFounder(),
	}
	for _, p := range w.GetKnown() {
		h.Known = append(h.Known, processFromWire(p))
	}
	return h
}

func processToWire(p member.Process) *peer.LinkProcess {
	return &peer.LinkProcess{Name: p.Name, Address: p.Address, Control: p.ControlAddress, Replica: uint64(p.Replica)}
}

func processFromWire(w *peer.LinkProcess) member.Process {
	return member.Process{
		Name: w.GetName(), Address: w.GetAddress(), ControlAddress: w.GetControl(), Replica: quorum.ReplicaID(w.GetReplica()),
	}
}
