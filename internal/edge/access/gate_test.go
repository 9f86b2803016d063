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
	now := clock.NewManual(time.Unix(1000, 0))
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
			now.Advance(250 * time.Millisecond)
			if r := gate.Admit(t.Context(), keyOf(version), target); r.Code != batch.CodeOK {
				// The table may have been asked for just before the change; the next request shows it.
				now.Advance(250 * time.Millisecond)
				if r := gate.Admit(t.Context(), keyOf(version), target); r.Code != batch.CodeOK {
					t.Errorf("a key that was added is answered %s", r.Code)
				}
			}
		}
	})
	callers.Wait()
}
