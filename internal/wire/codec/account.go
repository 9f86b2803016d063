package codec

import (
	"crypto/sha256"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/peer"
)

func accountToWire(a *batch.Account) *peer.BatchAccount {
	w := &peer.BatchAccount{
		Name: a.Name, Weight: a.Weight, CpuMilli: a.Limit.CPUMilli, MemoryMb: a.Limit.MemoryMB, Accelerators: a.Limit.Accelerators,
	}
	for i := range a.Keys {
		w.KeyDigests = append(w.KeyDigests, a.Keys[i][:])
	}
	return w
}

func accountFromWire(w *peer.BatchAccount) batch.Account {
	a := batch.Account{
		Name: w.GetName(), Weight: w.GetWeight(),
		Limit: batch.Resources{CPUMilli: w.GetCpuMilli(), MemoryMB: w.GetMemoryMb(), Accelerators: w.GetAccelerators()},
	}
	for _, digest := range w.GetKeyDigests() {
		a.Keys = append(a.Keys, digestFromWire(digest))
	}
	return a
}

// digestToWire encodes the digest of a key; no key is encoded as no bytes.
func digestToWire(d batch.KeyDigest) []byte {
	if d == (batch.KeyDigest{}) {
		return nil
	}
	return d[:]
}

// digestFromWire decodes the digest of a key; anything that isn't one stands for no key.
func digestFromWire(b []byte) batch.KeyDigest {
	if len(b) != sha256.Size {
		return batch.KeyDigest{}
	}
	return batch.KeyDigest(b)
}

func accessToWire(t *batch.AccessTable) *peer.LinkAccess {
	if t == nil {
		return nil
	}
	w := &peer.LinkAccess{Version: t.Version, RequiresKeys: t.RequiresKeys, Unchanged: t.Unchanged}
	for i := range t.Keys {
		w.KeyDigests = append(w.KeyDigests, t.Keys[i][:]...)
	}
	for _, q := range t.Public {
		w.PublicQueues = append(w.PublicQueues, &peer.LinkLookup{Host: q.Host, Path: q.Prefix})
	}
	return w
}

func accessFromWire(w *peer.LinkAccess) *batch.AccessTable {
	if w == nil {
		return nil
	}
	t := &batch.AccessTable{Version: w.GetVersion(), RequiresKeys: w.GetRequiresKeys(), Unchanged: w.GetUnchanged()}
	for rest := w.GetKeyDigests(); len(rest) >= sha256.Size; rest = rest[sha256.Size:] {
		t.Keys = append(t.Keys, batch.KeyDigest(rest[:sha256.Size]))
	}
	for _, q := range w.GetPublicQueues() {
		t.Public = append(t.Public, batch.QueueKey{Host: q.GetHost(), Prefix: q.GetPath()})
	}
	return t
}
