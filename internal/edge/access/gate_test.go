package access_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/access"
	"cowslipstack/internal/model/batch"
)

// silentLeader answers once it is released.
type silentLeader struct {
	release chan struct{}
}

func (l *silentLeader) Do(context.Context, *batch.Call) batch.Reply {
	<-l.release
	return batch.Reply{Code: batch.CodeNotRun}
}

// TestDeadlineBoundsRequest guards against a call that waits for the access table beyond its own deadline.
func TestDeadlineBoundsRequest(t *testing.T) {
	leader := &silentLeader{release: make(chan struct{})}
	gate := access.New(access.Options{Leader: leader, Clock: clock.System{}, Logger: zap.NewNop()})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	replies := make(chan batch.Reply, 1)
	go func() {
		replies <- gate.Admit(ctx, batch.DigestOf("ka"), &batch.RequestTarget{Host: "h", Path: "/q/1"})
	}()
	select {
	case r := <-replies:
		if r.Code != batch.CodeNotRun {
			t.Errorf("answered %s, not not_run", r.Code)
		}
		close(leader.release)
	case <-time.After(5 * time.Second):
		t.Error("no answer long after the deadline")
		close(leader.release)
		<-replies
	}
}

// changingLeader answers with tables of rising versions, of which each has two keys.
type changingLeader struct {
	version atomic.Uint64
}

func (l *changingLeader) Do(_ context.Context, c *batch.Call) batch.Reply {
	version := l.version.Load()
	t := &batch.AccessTable{Version: version, RequiresKeys: true, Unchanged: version == c.ReadAccess.KnownVersion}
	if !t.Unchanged {
		t.Keys = []batch.KeyDigest{batch.DigestOf("always"), keyOf(version)}
	}
	return batch.Reply{Code: batch.CodeOK, Access: t}
}

func keyOf(version uint64) batch.KeyDigest {
	return batch.DigestOf("key" + string(rune('a'+version%26)))
}

// TestConcurrentCalls guards against data races between calls, and against a refusal of a key that is in all versions or of one
// that was in force throughout the call.
func TestConcurrentCalls(t *testing.T) {
	leader := &changingLeader{}
	leader.version.Store(1)
	now := eagerClock{clock.NewManual(time.Unix(1000, 0))}
	gate := access.New(access.Options{Leader: leader, Clock: now, Logger: zap.NewNop()})
	target := &batch.RequestTarget{Host: "h", Path: "/q/1"}
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 2000 {
				if r := gate.Admit(t.Context(), batch.DigestOf("always"), target); r.Code != batch.CodeOK {
					t.Errorf("a valid key is answered %s", r.Code)
				}
				if r := gate.Admit(t.Context(), batch.DigestOf("never"), target); r.Code != batch.CodeUnauthorized {
					t.Errorf("an unknown key is answered %s", r.Code)
				}
				gate.Recheck(t.Context())
			}
		})
	}
	callers.Go(func() {
		for range 200 {
			version := leader.version.Add(1)
			if r := gate.Admit(t.Context(), keyOf(version), target); r.Code != batch.CodeOK {
				t.Errorf("a key that was added is answered %s", r.Code)
			}
		}
	})
	callers.Wait()
}

// countingLeader counts the requests for its table, which never changes.
type countingLeader struct{ asked atomic.Int64 }

func (l *countingLeader) Do(context.Context, *batch.Call) batch.Reply {
	l.asked.Add(1)
	return batch.Reply{Code: batch.CodeOK, Access: &batch.AccessTable{Version: 1, RequiresKeys: true, Keys: []batch.KeyDigest{batch.DigestOf("ka")}}}
}

// countingClock is a manual clock that counts the timers.
type countingClock struct {
	*clock.Manual
	timers atomic.Int64
}

func (c *countingClock) NewTimer(d time.Duration) clock.Timer {
	defer c.timers.Add(1)
	return c.Manual.NewTimer(d)
}

// TestUnknownKeysShareRequests guards against a crowd with unknown keys that makes a process ask the leader more than once in an
// interval.
func TestUnknownKeysShareRequests(t *testing.T) {
	const callers = 50
	leader, now := &countingLeader{}, &countingClock{Manual: clock.NewManual(time.Unix(1000, 0))}
	gate := access.New(access.Options{Leader: leader, Clock: now, Logger: zap.NewNop()})
	target := &batch.RequestTarget{Host: "h", Path: "/q/1"}
	if r := gate.Admit(t.Context(), batch.DigestOf("ka"), target); r.Code != batch.CodeOK {
		t.Fatalf("a valid key is answered %s", r.Code)
	}
	var crowd sync.WaitGroup
	for range callers {
		crowd.Go(func() {
			if r := gate.Admit(t.Context(), batch.DigestOf("never"), target); r.Code != batch.CodeUnauthorized {
				t.Errorf("an unknown key is answered %s", r.Code)
			}
		})
	}
	for deadline := time.Now().Add(30 * time.Second); now.timers.Load() < callers && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if asked := leader.asked.Load(); asked != 1 {
		t.Errorf("the leader was asked %d times before the interval had passed", asked)
	}
	now.Advance(250 * time.Millisecond)
	crowd.Wait()
	if asked := leader.asked.Load(); asked != 2 {
		t.Errorf("the leader was asked %d times", asked)
	}
}
