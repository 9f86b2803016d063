package store

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

const (
	identityName    = "identity"
	temporarySuffix = ".tmp"
)

// Identity is a replica's identity for the lifetime of its data folder.
type Identity struct {
	// ID is random, so that a new data folder never reuses the ID of a lost one.
	ID quorum.ReplicaID
	// Name is the name of the process that owns the folder.
	Name string
	// Agreed is the initial configuration that the replica has agreed to, nil before that.
	Agreed []quorum.Member
}

func newIdentity(name string) (Identity, error) {
	var data [8]byte
	for {
		if _, err := rand.Read(data[:]); err != nil {
			return Identity{}, errors.Wrap(err, "make identity")
		}
		if id := binary.LittleEndian.Uint64(data[:]); id != 0 {
			return Identity{ID: quorum.ReplicaID(id), Name: name}, nil
		}
	}
}

// replaceFile replaces a file atomically: a crash leaves either the old content or the new.
func replaceFile(f Folder, kind fileKind, name string, payload []byte) error {
	temporary := name + temporarySuffix
	file, err := f.Create(temporary)
	if err != nil {
		return errors.Wrapf(err, "create %s", temporary)
	}
	_, err = file.Write(appendFrame(fileHeader(kind), payload))
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		return errors.Wrapf(closeAndRemove(f, file, temporary, err), "write %s", temporary)
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "close %s", temporary)
	}
	if err := f.Rename(temporary, name); err != nil {
		return errors.Wrapf(err, "rename %s", temporary)
	}
	return errors.Mark(errors.Wrap(f.Sync(), "sync data folder"), errFolderSync)
}

// readFile returns the payload of a file that replaceFile wrote.
func readFile(f Folder, kind fileKind, name string) ([]byte, error) {
	content, err := f.Read(name)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	rest, err := checkHeader(kind, name, content)
	if err != nil {
		return nil, err
	}
	payload, size, ok := readFrame(rest)
	if !ok || size != len(rest) {
		return nil, errors.Wrapf(ErrDamaged, "%s: checksum differs", name)
	}
	return payload, nil
}
