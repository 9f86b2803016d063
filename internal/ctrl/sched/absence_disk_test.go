package sched_test

import (
	"bytes"
	"encoding/gob"
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/quorum"
)

// absenceDisk is what a process has synced.
type absenceDisk struct {
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry
}

// save stores a write as package store does.
func (d *absenceDisk) save(w quorum.Write) {
	if s := w.Snapshot; s != nil {
		kept := int(s.Index) - int(d.snapshot.Index)
		if w.Reset || kept > len(d.entries) {
			kept = len(d.entries)
		}
		d.snapshot, d.entries = *s, slices.Clone(d.entries[kept:])
	}
	for _, e := range w.Entries {
		d.entries = append(slices.Clone(d.entries[:e.Index-d.snapshot.Index-1]), e)
	}
	if w.Hard != nil {
		d.hard = *w.Hard
	}
}

// encodeState returns a state as the data of a snapshot.
func encodeState(s *jobs.State) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func decodeState(data []byte) jobs.State {
	var s jobs.State
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&s); err != nil {
		panic(err)
	}
	return s
}
