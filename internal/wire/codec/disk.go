package codec

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/wire/peer"
)

// EncodeWrites returns the bytes of one frame of the write-ahead log.
func (Codec) EncodeWrites(writes []quorum.Write) ([]byte, error) {
	w := &peer.LogWrites{}
	for _, write := range writes {
		one := &peer.LogWrite{Entries: entriesToWire(write.Entries)}
		if write.Hard != nil {
			one.Hard = &peer.HardState{Term: write.Hard.Term, Vote: uint64(write.Hard.Vote)}
		}
		if write.Reset && write.Snapshot != nil {
			one.Restart = &peer.LogReset{Index: write.Snapshot.Index, Term: write.Snapshot.Term}
		}
		w.Writes = append(w.Writes, one)
	}
	data, err := proto.Marshal(w)
	return data, errors.Wrap(err, "encode log writes")
}

// DecodeWrites returns the writes of a frame; a snapshot among them has no data.
func (Codec) DecodeWrites(data []byte) ([]quorum.Write, error) {
	var w peer.LogWrites
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "decode log writes")
	}
	var writes []quorum.Write
	for _, one := range w.GetWrites() {
		write := quorum.Write{Entries: entriesFromWire(one.GetEntries())}
		if h := one.GetHard(); h != nil {
			write.Hard = &quorum.HardState{Term: h.GetTerm(), Vote: quorum.ReplicaID(h.GetVote())}
		}
		if r := one.GetRestart(); r != nil {
			write.Reset = true
			write.Snapshot = &quorum.Snapshot{Index: r.GetIndex(), Term: r.GetTerm()}
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// EncodeSnapshot returns the bytes of a saved snapshot.
func (Codec) EncodeSnapshot(s quorum.Snapshot) ([]byte, error) {
	data, err := proto.Marshal(&peer.SavedSnapshot{
		Index: s.Index, Term: s.Term, Members: MembersToWire(s.Members), Data: s.Data,
	})
	return data, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot returns the snapshot that the bytes hold.
func (Codec) DecodeSnapshot(data []byte) (quorum.Snapshot, error) {
	var w peer.SavedSnapshot
	if err := proto.Unmarshal(data, &w); err != nil {
		return quorum.Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return quorum.Snapshot{
		Index: w.GetIndex(), Term: w.GetTerm(), Members: MembersFromWire(w.GetMembers()), Data: w.GetData(),
	}, nil
}

// EncodeIdentity returns the bytes of an identity.
func (Codec) EncodeIdentity(i store.Identity) ([]byte, error) {
	data, err := proto.Marshal(&peer.Identity{Id: uint64(i.ID), Name: i.Name, Agreed: MembersToWire(i.Agreed)})
	return data, errors.Wrap(err, "encode identity")
}

// DecodeIdentity returns the identity that the bytes hold.
func (Codec) DecodeIdentity(data []byte) (store.Identity, error) {
	var w peer.Identity
	if err := proto.Unmarshal(data, &w); err != nil {
		return store.Identity{}, errors.Wrap(err, "decode identity")
	}
	return store.Identity{ID: quorum.ReplicaID(w.GetId()), Name: w.GetName(), Agreed: MembersFromWire(w.GetAgreed())}, nil
}
