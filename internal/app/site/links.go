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

// transport sends messages of the replicated log; it is used on the control loop.
type transport struct {
	lines   *link.Lines
	roster  *member.Membership
	holders map[quorum.ReplicaID]string
}

// SetProcess tells which process holds a replica.
func (t *transport) SetProcess(id quorum.ReplicaID, name string) {
	if name != "" {
		t.holders[id] = name
	}
}

// Send sends messages; those for a process that isn't known are lost.
func (t *transport) Send(messages []quorum.Message) {
	byAddress := map[string][]quorum.Message{}
	for _, m := range messages {
		address := t.roster.ReplicaAddress(m.To)
		if address == "" {
			address = t.roster.Address(t.holders[m.To])
		}
		if address != "" {
			byAddress[address] = append(byAddress[address], m)
		}
	}
	for address, batch := range byAddress {
		t.lines.Send(address, quorumFrame(batch))
	}
}

func quorumFrame(messages []quorum.Message) *peer.Link {
	return &peer.Link{Body: &peer.Link_Quorum{Quorum: &peer.LinkQuorum{Messages: codec.MessagesToWire(messages)}}}
}

// links takes what other processes send.
type links struct {
	loop   *loop.Loop
	node   *node.Node
	roster *member.Membership
	local  proxy.Local
	uptime clock.Uptime
	logger *zap.Logger
	// transport sends messages of the replicated log; nil where there is no disk.
	transport *transport
}

// Deliver takes messages of the replicated log, and returns the answers that are ready at once.
func (l *links) Deliver(ctx context.Context, f *peer.Link) *peer.Link {
	messages := codec.MessagesFromWire(f.GetQuorum().GetMessages())
	if l.node == nil || len(messages) == 0 {
		return nil
	}
	answers, err := l.node.Deliver(ctx, "", messages)
	if err != nil {
		l.logger.Debug("messages_lost", zap.Error(err))
		return nil
	}
	if len(answers) == 0 {
		return nil
	}
	return quorumFrame(answers)
}

// send sends messages on the control loop; where it is full they are lost, as any message may be.
func (l *links) send(messages []quorum.Message) {
	if err := l.loop.TryPost(func() { l.transport.Send(messages) }); err != nil {
		l.logger.Debug("messages_lost", zap.Error(err))
	}
}

// callTime bounds a call of another process.
const callTime = 2 * time.Second

// Answer answers a call of another process.
func (l *links) Answer(ctx context.Context, f *peer.Link) *peer.Link {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	switch body := f.GetBody().(type) {
	case *peer.Link_Hello:
		return l.hello(ctx, body.Hello)
	case *peer.Link_Request:
		reply, err := l.local.Do(ctx, codec.CallFromWire(body.Request))
		if err != nil {
			// The caller doesn't wait that long; without an answer it takes the outcome as unknown.
			return nil
		}
		return &peer.Link{Body: &peer.Link_Reply{Reply: codec.ReplyToWire(&reply)}}
	default:
		l.logger.Warn("call_not_known")
		return nil
	}
}

func (l *links) hello(ctx context.Context, h *peer.LinkHello) *peer.Link {
	var own member.Hello
	heard := helloFromWire(h)
	err := l.loop.Call(ctx, func() {
		l.roster.HandleHello(&heard, l.uptime.Milliseconds())
		own = l.makeHello()
	})
	if err != nil {
		return nil
	}
	return &peer.Link{Body: &peer.Link_Hello{Hello: helloToWire(&own)}}
}

// makeHello returns what this process tells of itself; it runs on the control loop.
func (l *links) makeHello() member.Hello {
	return l.roster.MakeHello(l.uptime.Milliseconds())
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
