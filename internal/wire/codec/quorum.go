package codec

import (
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/peer"
)

// MessagesToWire encodes messages between replicas.
func MessagesToWire(messages []quorum.Message) []*peer.QuorumMessage {
	wire := make([]*peer.QuorumMessage, 0, len(messages))
	for _, m := range messages {
		wire = append(wire, messageToWire(m))
	}
	return wire
}

// MessagesFromWire decodes messages between replicas.
func MessagesFromWire(wire []*peer.QuorumMessage) []quorum.Message {
	messages := make([]quorum.Message, 0, len(wire))
	for _, w := range wire {
		messages = append(messages, messageFromWire(w))
	}
	return messages
}

func messageToWire(m quorum.Message) *peer.QuorumMessage {
	return &peer.QuorumMessage{
		Kind: uint32(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit,
		Reject: m.Reject, Hint: m.Hint, Context: m.Context, Transfer: m.Transfer,
		Offset: m.Offset, Total: m.Total, Piece: m.Chunk,
		Members: MembersToWire(m.Members), Entries: entriesToWire(m.Entries),
	}
}

func messageFromWire(w *peer.QuorumMessage) quorum.Message {
	return quorum.Message{
		Kind: quorum.MessageKind(w.GetKind()), From: quorum.ReplicaID(w.GetFrom()), To: quorum.ReplicaID(w.GetTo()),
		Term: w.GetTerm(), LogIndex: w.GetLogIndex(), LogTerm: w.GetLogTerm(), Commit: w.GetCommit(),
		Reject: w.GetReject(), Hint: w.GetHint(), Context: w.GetContext(), Transfer: w.GetTransfer(),
		Offset: w.GetOffset(), Total: w.GetTotal(), Chunk: w.GetPiece(),
		Members: MembersFromWire(w.GetMembers()), Entries: entriesFromWire(w.GetEntries()),
	}
}

// MembersToWire encodes members of the replicated log.
func MembersToWire(members []quorum.Member) []*peer.Member {
	wire := make([]*peer.Member, 0, len(members))
	for _, m := range members {
		wire = append(wire, &peer.Member{Id: uint64(m.ID), Name: m.Name, Voter: m.Voter})
	}
	return wire
}

// MembersFromWire decodes members of the replicated log; nil if there are none.
func MembersFromWire(wire []*peer.Member) []quorum.Member {
	var members []quorum.Member
	for _, w := range wire {
		members = append(members, quorum.Member{ID: quorum.ReplicaID(w.GetId()), Name: w.GetName(), Voter: w.GetVoter()})
	}
	return members
}

func entriesToWire(entries []quorum.Entry) []*peer.LogEntry {
	wire := make([]*peer.LogEntry, 0, len(entries))
	for _, e := range entries {
		wire = append(wire, &peer.LogEntry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data, Members: MembersToWire(e.Members),
		})
	}
	return wire
}

func entriesFromWire(wire []*peer.LogEntry) []quorum.Entry {
	var entries []quorum.Entry
	for _, w := range wire {
		entries = append(entries, quorum.Entry{
			Index: w.GetIndex(), Term: w.GetTerm(), Kind: quorum.EntryKind(w.GetKind()), Data: w.GetData(),
			Members: MembersFromWire(w.GetMembers()),
		})
	}
	return entries
}
