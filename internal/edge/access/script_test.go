package access_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/edge/access"
	"cowslipstack/internal/model/batch"
)

// fakeLeader answers with the table in force, or with a code instead.
type fakeLeader struct {
	table batch.AccessTable
	code  batch.Code
	asked int
	// noTable leaves the table out of the answers.
	noTable bool
}

func (l *fakeLeader) Do(_ context.Context, c *batch.Call) batch.Reply {
	l.asked++
	if l.code != batch.CodeOK || l.noTable {
		return batch.Reply{Code: l.code}
	}
	t := l.table
	if t.Unchanged = t.Version == c.ReadAccess.KnownVersion; t.Unchanged {
		t.Keys, t.Public = nil, nil
	}
	return batch.Reply{Code: batch.CodeOK, Access: &t}
}

// eagerClock is a manual clock on which each timer's time passes at once.
type eagerClock struct{ *clock.Manual }

func (c eagerClock) NewTimer(d time.Duration) clock.Timer {
	timer := c.Manual.NewTimer(d)
	c.Advance(d)
	return timer
}

// TestScripts plays the calls and changes under testdata, and prints what the gate answers, how often it asked the leader and how long it
// waited.
func TestScripts(t *testing.T) {
	leader, now := &fakeLeader{code: batch.CodeOK}, eagerClock{clock.NewManual(time.Unix(1000, 0))}
	gate := access.New(access.Options{Leader: leader, Clock: now, Logger: zap.NewNop()})
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "process":
			leader = &fakeLeader{code: batch.CodeOK}
			gate = access.New(access.Options{Leader: leader, Clock: now, Logger: zap.NewNop()})
		case "table":
			leader.table = parseTable(t, d)
		case "leader":
			leader.noTable = d.CmdArgs[0].Key == "no_table"
			leader.code = map[string]batch.Code{
				"ok": batch.CodeOK, "no_table": batch.CodeOK, "not_run": batch.CodeNotRun, "invalid": batch.CodeInvalid,
			}[d.CmdArgs[0].Key]
		case "advance":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			now.Advance(time.Duration(ms) * time.Millisecond)
		case "admit":
			var key, path string
			d.MaybeScanArgs(t, "key", &key)
			d.ScanArgs(t, "path", &path)
			before, came := leader.asked, now.Now()
			reply := gate.Admit(t.Context(), batch.DigestOf(key), &batch.RequestTarget{Host: "h", Path: path})
			waited := ""
			if ms := now.Now().Sub(came).Milliseconds(); ms > 0 {
				waited = fmt.Sprintf(" after %d ms", ms)
			}
			return fmt.Sprintf("%s, asked %d times%s\n", reply.Code, leader.asked-before, waited)
		case "recheck":
			before := leader.asked
			gate.Recheck(t.Context())
			return fmt.Sprintf("asked %d times\n", leader.asked-before)
		default:
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
		}
		return "ok\n"
	})
}

// parseTable reads a table such as "table version=2 keys=(k1,k2) public=(/p/)"; without keys=, none are required.
func parseTable(t *testing.T, d *datadriven.TestData) batch.AccessTable {
	t.Helper()
	var table batch.AccessTable
	d.ScanArgs(t, "version", &table.Version)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "keys":
			table.RequiresKeys = true
			for _, k := range a.Vals {
				table.Keys = append(table.Keys, batch.DigestOf(strings.TrimSpace(k)))
			}
		case "public":
			for _, prefix := range a.Vals {
				table.Public = append(table.Public, batch.QueueKey{Host: "h", Prefix: prefix})
			}
		}
	}
	return table
}
