package opcli

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/wire/codec"
)

// StateCommand holds the subcommands for a data folder that no process uses.
type StateCommand struct {
	Inspect *InspectCommand `arg:"subcommand:inspect" help:"show what a data folder holds"`
	Verify  *VerifyCommand  `arg:"subcommand:verify" help:"check that a data folder can be read completely"`
}

// InspectCommand prints a summary of a data folder: identity, term, snapshot, log segments and members.
type InspectCommand struct {
	Folder string `arg:"positional,required" help:"path of the data folder"`
}

// VerifyCommand checks that the snapshot and all log entries of a data folder can be read and decoded.
type VerifyCommand struct {
	Folder string `arg:"positional,required" help:"path of the data folder"`
}

func (s *StateCommand) run(c *cli) error {
	switch {
	case s.Inspect != nil:
		return c.inspect(s.Inspect.Folder)
	case s.Verify != nil:
		return c.verify(s.Verify.Folder)
	default:
		return &usageError{err: errors.New("state needs a command; see cowslip state --help")}
	}
}

func (c *cli) inspect(folder string) error {
	f, err := store.Inspect(folder, codec.Codec{})
	if err != nil {
		return err
	}
	w := newTable(c.out)
	fmt.Fprintf(w, "replica\t%s\nidentity\t%016x\n", f.Identity.Name, uint64(f.Identity.ID))
	fmt.Fprintf(w, "term\t%d\nvote\t%016x\n", f.Hard.Term, uint64(f.Hard.Vote))
	fmt.Fprintf(w, "snapshot\tindex %d, term %d, %d bytes\n", f.Snapshot.Index, f.Snapshot.Term, len(f.Snapshot.Data))
	fmt.Fprintf(w, "entries\t%d after the snapshot\ntorn tail\t%d bytes\n\n", len(f.Entries), f.TornBytes)
	fmt.Fprintln(w, "SEGMENT\tBYTES\tRECORDS\tLAST INDEX")
	for _, s := range f.Segments {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", s.Name(), s.Bytes, s.Frames, s.Last)
	}
	fmt.Fprintln(w, "\nMEMBER\tIDENTITY\tROLE")
	for _, m := range membersOf(f) {
		role := "voter"
		if !m.Voter {
			role = "learner"
		}
		fmt.Fprintf(w, "%s\t%016x\t%s\n", m.Name, uint64(m.ID), role)
	}
	return errors.Wrap(w.Flush(), "write state")
}

// membersOf returns the members of the last membership entry, or those of the snapshot if there is no such entry.
func membersOf(f store.Recovered) []quorum.Member {
	members := f.Snapshot.Members
	for _, e := range f.Entries {
		if e.Kind == quorum.EntryMembers {
			members = e.Members
		}
	}
	return members
}

func (c *cli) verify(folder string) error {
	f, err := store.Inspect(folder, codec.Codec{})
	if err != nil {
		return err
	}
	if f.Snapshot.Index > 0 {
		if _, err := (codec.Codec{}).DecodeState(f.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "snapshot of index %d", f.Snapshot.Index)
		}
	}
	for _, e := range f.Entries {
		if e.Kind != quorum.EntryCommand {
			continue
		}
		if _, err := (codec.Codec{}).DecodeCommand(e.Data); err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
	}
	_, err = fmt.Fprintf(c.out, "whole: snapshot of index %d, %d entries, %d bytes of a torn last record\n",
		f.Snapshot.Index, len(f.Entries), f.TornBytes)
	return err
}
