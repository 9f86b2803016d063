package codec_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A seed given on the command line goes before the fixed one.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine is the state machine with snapshots as bytes.
type machine struct {
	*state.Machine
	codec codec.Codec
}

// newMachine returns a machine on an empty state.
func newMachine() *machine {
	return &machine{Machine: state.NewMachine()}
}

// Snapshot returns the state as bytes; replicas that applied the same entries give the same.
func (m *machine) Snapshot() ([]byte, error) {
	return m.codec.EncodeState(m.State())
}

// Restore replaces the state by that of a snapshot, or leaves it where the bytes are no snapshot.
func (m *machine) Restore(data []byte) error {
	s, err := m.codec.DecodeState(data)
	if err != nil {
		return err
	}
	m.Machine.Restore(s)
	return nil
}

// change draws one change of the replicated state; each part of the state adds its own.
func change(t *rapid.T, n int) record.Command {
	c := record.Command{
		RequestID: fmt.Sprintf("request-%d", rapid.IntRange(0, n).Draw(t, "request")),
		Time:      time.Unix(int64(rapid.IntRange(0, 1000).Draw(t, "time")), 7).UTC(),
	}
	base := rapid.Uint64Range(0, 20).Draw(t, "base")
	text := fmt.Appendf(nil, "document %d", rapid.IntRange(0, 20).Draw(t, "document"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		c.Document = &record.DocumentChange{Environment: "production", BaseRevision: base, Text: text}
	case 1:
		c.Trial = &record.TrialChange{Environment: "trial", BaseRevision: base, Text: text}
	case 2:
		planChange(t, &c)
	default:
		c.Promote = &record.PromoteChange{BaseRevision: base, Digest: docs.Digest(text)}
	}
	return c
}

// apply applies a command by way of its bytes, as the log does, and returns the snapshot after it.
func apply(m *machine, index uint64, c record.Command) (record.Result, error) {
	data, err := codec.Codec{}.EncodeCommand(c)
	if err != nil {
		return record.Result{}, err
	}
	decoded, err := codec.Codec{}.DecodeCommand(data)
	if err != nil {
		return record.Result{}, err
	}
	return m.Apply(index, decoded), nil
}

func restored(m *machine) (*machine, error) {
	data, err := m.Snapshot()
	if err != nil {
		return nil, err
	}
	r := newMachine()
	return r, r.Restore(data)
}

// TestSnapshot restarts one of two machines from its snapshot at random points: results and bytes stay equal.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept, restarted := newMachine(), newMachine()
		n := rapid.IntRange(1, 300).Draw(t, "commands")
		for i := range n {
			c := change(t, n)
			first, err := apply(kept, uint64(i+1), c)
			second, err2 := apply(restarted, uint64(i+1), c)
			if err = errors.CombineErrors(err, err2); err != nil || first != second {
				t.Fatalf("command %d: %v, after a restart %v: %v", i, first, second, err)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				if restarted, err = restored(restarted); err != nil {
					t.Fatal(err)
				}
			}
		}
		one, err := kept.Snapshot()
		two, err2 := restarted.Snapshot()
		if err = errors.CombineErrors(err, err2); err != nil || !bytes.Equal(one, two) {
			t.Fatalf("the snapshots differ: %v", err)
		}
	})
}

// TestSnapshotDamaged leaves the state as it is where the bytes are no snapshot.
func TestSnapshotDamaged(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	_, err := apply(m, 1, record.Command{Document: &record.DocumentChange{Text: []byte("document")}})
	is.NoErr(err)
	is.True(m.Restore([]byte{0xff}) != nil)
	is.Equal(m.State().Document.Revision, uint64(1))
}
