package codec_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
)

// documentOp is one change or read of the document by an operator.
type documentOp struct {
	read bool
	base uint64
	text string
}

// documentState is the register that the operators see.
type documentState struct {
	revision uint64
	digest   string
}

// documentModel is what operators may rely on: a change is made where it builds on the revision in force, and a
// conflict names the revision that won.
var documentModel = porcupine.Model{
	Init: func() any { return documentState{} },
	Step: func(state, input, output any) (bool, any) {
		s, op, r := state.(documentState), input.(documentOp), output.(record.Result)
		switch {
		case op.read:
			return r.Revision == s.revision && r.Digest == s.digest, s
		case op.base != s.revision:
			return r.Code == record.CodeConflict && r.Revision == s.revision, s
		default:
			next := documentState{revision: s.revision + 1, digest: docs.Digest([]byte(op.text))}
			return r.Code == record.CodeOK && r.Revision == next.revision && r.Digest == next.digest, next
		}
	},
}

// operator has at most one change under way, which it resends until it is answered.
type operator struct {
	op      documentOp
	command record.Command
	call    int64
	waiting bool
}

// documents is a run of operators against one log that a machine applies.
type documents struct {
	machine   *machine
	applied   uint64
	time      int64
	operators [3]operator
	history   []porcupine.Operation
}

func (d *documents) begin(id int, n int64) {
	o := &d.operators[id]
	state := d.machine.State()
	o.op = documentOp{base: state.Document.Revision, text: fmt.Sprintf("document %d", n)}
	o.command = record.Command{
		RequestID: fmt.Sprintf("request-%d", n),
		Document:  &record.DocumentChange{BaseRevision: o.op.base, Text: []byte(o.op.text)},
	}
	o.call, o.waiting = d.tick(), true
}

// arrive commits and applies one sending of an operator's change; its answer may be lost.
func (d *documents) arrive(t *rapid.T, id int, lost bool) {
	o := &d.operators[id]
	if !o.waiting {
		return
	}
	d.applied++
	result, err := apply(d.machine, d.applied, o.command)
	if err != nil {
		t.Fatal(err)
	}
	if lost {
		return
	}
	o.waiting = false
	d.history = append(d.history, porcupine.Operation{ClientId: id, Input: o.op, Call: o.call, Output: result, Return: d.tick()})
}

func (d *documents) read(id int) {
	s := d.machine.State().Document
	d.history = append(d.history, porcupine.Operation{
		ClientId: id, Input: documentOp{read: true}, Call: d.tick(),
		Output: record.Result{Revision: s.Revision, Digest: s.Digest}, Return: d.tick(),
	})
}

func (d *documents) tick() int64 {
	d.time++
	return d.time
}

// TestDocumentHistory lets operators race with equal numbers and resend when answers are lost, over restarts from
// snapshots: the history is that of one register.
func TestDocumentHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &documents{machine: newMachine()}
		for n := range rapid.Int64Range(1, 60).Draw(t, "steps") {
			id := rapid.IntRange(0, len(d.operators)-1).Draw(t, "operator")
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step == 0:
				d.read(len(d.operators))
			case step == 1:
				var err error
				if d.machine, err = restored(d.machine); err != nil {
					t.Fatal(err)
				}
			case !d.operators[id].waiting:
				d.begin(id, n)
			default:
				d.arrive(t, id, step == 2)
			}
		}
		for id := range d.operators {
			d.arrive(t, id, false)
		}
		if !porcupine.CheckOperations(documentModel, slices.Clone(d.history)) {
			t.Fatalf("not the history of one register: %+v", d.history)
		}
	})
}
