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

// documentOp is an operator's change or read of the document.
type documentOp struct {
	read bool
	base uint64
	text string
}

// documentState is the state of the register in the model.
type documentState struct {
	revision uint64
	digest   string
}

// documentModel is the sequential specification of the document: a change is applied if it is based on the revision in
// force; otherwise it gets a conflict that names that revision.
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

// operator is a client with at most one change under way, which it resends until it gets an answer.
type operator struct {
	op       documentOp
	command  record.Command
	callTime int64
	waiting  bool
}

// documentRun is a simulation of operators that change the document through one log, applied by one machine.
type documentRun struct {
	machine   *machine
	applied   uint64
	clock     int64
	operators [3]operator
	history   []porcupine.Operation
}

func (d *documentRun) startChange(id int, n int64) {
	o := &d.operators[id]
	state := d.machine.State()
	o.op = documentOp{base: state.Document.Revision, text: fmt.Sprintf("document %d", n)}
	o.command = record.Command{
		RequestID: fmt.Sprintf("request-%d", n),
		Document:  &record.DocumentChange{BaseRevision: o.op.base, Text: []byte(o.op.text)},
	}
	o.callTime, o.waiting = d.tick(), true
}

// deliver commits and applies an operator's change, sent once or again; if lost is set, the operator gets no answer.
func (d *documentRun) deliver(t *rapid.T, id int, lost bool) {
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
	d.history = append(d.history, porcupine.Operation{ClientId: id, Input: o.op, Call: o.callTime, Output: result, Return: d.tick()})
}

func (d *documentRun) read(id int) {
	s := d.machine.State().Document
	d.history = append(d.history, porcupine.Operation{
		ClientId: id, Input: documentOp{read: true}, Call: d.tick(),
		Output: record.Result{Revision: s.Revision, Digest: s.Digest}, Return: d.tick(),
	})
}

func (d *documentRun) tick() int64 {
	d.clock++
	return d.clock
}

// TestDocumentHistory checks that changes of the document are linearizable while operators race on the same base
// revision, resend changes whose answers are lost, and the state machine restarts from snapshots.
func TestDocumentHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &documentRun{machine: newMachine()}
		for n := range rapid.Int64Range(1, 60).Draw(t, "steps") {
			id := rapid.IntRange(0, len(d.operators)-1).Draw(t, "operator")
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step == 0:
				d.read(len(d.operators))
			case step == 1:
				var err error
				if d.machine, err = restoreFromSnapshot(d.machine); err != nil {
					t.Fatal(err)
				}
			case !d.operators[id].waiting:
				d.startChange(id, n)
			default:
				d.deliver(t, id, step == 2)
			}
		}
		for id := range d.operators {
			d.deliver(t, id, false)
		}
		if !porcupine.CheckOperations(documentModel, slices.Clone(d.history)) {
			t.Fatalf("not the history of one register: %+v", d.history)
		}
	})
}
