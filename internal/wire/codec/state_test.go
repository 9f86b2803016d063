package codec_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "4"})
	os.Exit(m.Run())
}

// machine is a state machine that encodes its snapshots.
type machine struct {
	*state.Machine
	codec codec.Codec
}

// newMachine returns a machine with an empty state.
func newMachine() *machine {
	return &machine{Machine: state.NewMachine()}
}

// Snapshot returns the encoded state; replicas that have applied the same entries return equal bytes.
func (m *machine) Snapshot() ([]byte, error) {
	return m.codec.EncodeState(m.State())
}

// Restore replaces the state with that of a snapshot; if data is not one, it returns an error and changes nothing.
func (m *machine) Restore(data []byte) error {
	s, err := m.codec.DecodeState(data)
	if err != nil {
		return err
	}
	m.Machine.Restore(s)
	return nil
}

// drawCommand returns a random change of the replicated state; drawPlanChange adds those of the planner's state.
func drawCommand(t *rapid.T, n int) record.Command {
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
		drawPlanChange(t, &c)
	default:
		c.Promote = &record.PromoteChange{BaseRevision: base, Digest: docs.Digest(text)}
	}
	return c
}

// apply encodes, decodes and applies a command, as the replicated log does, and returns its result.
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

func restoreFromSnapshot(m *machine) (*machine, error) {
	data, err := m.Snapshot()
	if err != nil {
		return nil, err
	}
	r := newMachine()
	return r, r.Restore(data)
}

// TestSnapshot checks that restarts from a snapshot change nothing: of two machines that apply the same commands, one
// restarts at random points, and their results and snapshots stay equal.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		continuous, restarted := newMachine(), newMachine()
		n := rapid.IntRange(1, 300).Draw(t, "commands")
		for i := range n {
			c := drawCommand(t, n)
			first, err := apply(continuous, uint64(i+1), c)
			second, err2 := apply(restarted, uint64(i+1), c)
			if err = errors.CombineErrors(err, err2); err != nil || first != second {
				t.Fatalf("command %d: %v, after a restart %v: %v", i, first, second, err)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				if restarted, err = restoreFromSnapshot(restarted); err != nil {
					t.Fatal(err)
				}
			}
		}
		continuousData, err := continuous.Snapshot()
		restartedData, err2 := restarted.Snapshot()
		if err = errors.CombineErrors(err, err2); err != nil || !bytes.Equal(continuousData, restartedData) {
			t.Fatalf("the snapshots differ: %v", err)
		}
	})
}

// TestSnapshotDamaged checks that restoring bytes that are not a snapshot fails and leaves the state unchanged.
func TestSnapshotDamaged(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	_, err := apply(m, 1, record.Command{Document: &record.DocumentChange{Text: []byte("document")}})
	is.NoErr(err)
	is.True(m.Restore([]byte{0xff}) != nil)
	is.Equal(m.State().Document.Revision, uint64(1))
}
