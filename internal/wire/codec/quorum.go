package codec

import (
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/peer"
)

// MessagesToWire returns the wire's messages of the log's.
func MessagesToWire(messages []quorum.Message) []*peer.QuorumMessage {
	wire := make([]*peer.QuorumMessage, 0, len(messages))
	for _, m := range messages {
		wire = append(wire, messageToWire(m))
	}
	return wire
}

// MessagesFromWire returns the log's messages of the wire's.
func MessagesFromWire(wire []*peer.QuorumMessage) []quorum.Message {
	messages := make([]quorum.Message, 0, len(wire))
	for _, w := range wire {
		messages = append(messages, messageFromWire(w))
	}
	return messages
}

func messageToWire(m quorum.Message) *peer.QuorumMessage {
	w := &peer.QuorumMessage{
		Kind: uint32(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit,
		Reject: m.Reject, Hint: m.Hint, Context: m.Context,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, entryToWire(e))
	}
	return w
}

func messageFromWire(w *peer.QuorumMessage) quorum.Message {
	m := quorum.Message{
		Kind: quorum.MessageKind(w.GetKind()), From: quorum.ReplicaID(w.GetFrom()), To: quorum.ReplicaID(w.GetTo()),
		Term: w.GetTerm(), LogIndex: w.GetLogIndex(), LogTerm: w.GetLogTerm(), Commit: w.GetCommit(),
		Reject: w.GetReject(), Hint: w.GetHint(), Context: w.GetContext(),
	}
	for _, e := range w.GetEntries() {
		m.Entries = append(m.Entries, entryFromWire(e))
	}
	return m
}

func entryToWire(e quorum.Entry) *peer.LogEntry {
	return &peer.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
}

func entryFromWire(w *peer.LogEntry) quorum.Entry {
	return quorum.Entry{Index: w.GetIndex(), Term: w.GetTerm(), Kind: quorum.EntryKind(w.GetKind()), Data: w.GetData()}
}
