package codec

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/wire/peer"
)

// EncodeWrites encodes writes as one frame of the write-ahead log. Of a snapshot after which the log restarts, it
// encodes only the index and the term.
func (Codec) EncodeWrites(writes []quorum.Write) ([]byte, error) {
	w := &peer.LogWrites{}
	for _, write := range writes {
		logWrite := &peer.LogWrite{Entries: entriesToWire(write.Entries)}
		if write.Hard != nil {
			logWrite.Hard = &peer.HardState{Term: write.Hard.Term, Vote: uint64(write.Hard.Vote)}
		}
		if write.Reset && write.Snapshot != nil {
			logWrite.Restart = &peer.LogReset{Index: write.Snapshot.Index, Term: write.Snapshot.Term}
		}
		w.Writes = append(w.Writes, logWrite)
	}
	data, err := proto.Marshal(w)
	return data, errors.Wrap(err, "encode log writes")
}

// DecodeWrites decodes the writes in a frame; snapshots among them have no data.
func (Codec) DecodeWrites(data []byte) ([]quorum.Write, error) {
	var w peer.LogWrites
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "decode log writes")
	}
	var writes []quorum.Write
	for _, logWrite := range w.GetWrites() {
		write := quorum.Write{Entries: entriesFromWire(logWrite.GetEntries())}
		if h := logWrite.GetHard(); h != nil {
			write.Hard = &quorum.HardState{Term: h.GetTerm(), Vote: quorum.ReplicaID(h.GetVote())}
		}
		if r := logWrite.GetRestart(); r != nil {
			write.Reset = true
			write.Snapshot = &quorum.Snapshot{Index: r.GetIndex(), Term: r.GetTerm()}
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// EncodeSnapshot encodes a snapshot for storage on disk.
func (Codec) EncodeSnapshot(s quorum.Snapshot) ([]byte, error) {
	data, err := proto.Marshal(&peer.SavedSnapshot{
		Index: s.Index, Term: s.Term, Members: MembersToWire(s.Members), Data: s.Data,
	})
	return data, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot decodes a snapshot from disk.
func (Codec) DecodeSnapshot(data []byte) (quorum.Snapshot, error) {
	var w peer.SavedSnapshot
	if err := proto.Unmarshal(data, &w); err != nil {
		return quorum.Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return quorum.Snapshot{
		Index: w.GetIndex(), Term: w.GetTerm(), Members: MembersFromWire(w.GetMembers()), Data: w.GetData(),
	}, nil
}

// EncodeIdentity encodes a replica's identity for storage on disk.
func (Codec) EncodeIdentity(i store.Identity) ([]byte, error) {
	data, err := proto.Marshal(&peer.Identity{Id: uint64(i.ID), Name: i.Name, Agreed: MembersToWire(i.Agreed)})
	return data, errors.Wrap(err, "encode identity")
}

// DecodeIdentity decodes a replica's identity from disk.
func (Codec) DecodeIdentity(data []byte) (store.Identity, error) {
	var w peer.Identity
	if err := proto.Unmarshal(data, &w); err != nil {
		return store.Identity{}, errors.Wrap(err, "decode identity")
	}
	return store.Identity{ID: quorum.ReplicaID(w.GetId()), Name: w.GetName(), Agreed: MembersFromWire(w.GetAgreed())}, nil
}
