package opcli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/peer"
)

// WatchCommand shows the state of the fleet each time that it changes.
type WatchCommand struct {
	Every time.Duration `arg:"--every" default:"1s" help:"time between two looks"`
	Count int           `arg:"--count" help:"end after so many changes; default: at the timeout"`
}

// leastWatch keeps a watch from loading the leader.
const leastWatch = 100 * time.Millisecond

// run shows the state until the count is reached or the time is up; running out of time is its usual end.
func (w *WatchCommand) run(ctx context.Context, c *call) error {
	if w.Every < leastWatch {
		return &usageError{err: errors.Newf("--every is %s; at least %s is allowed", w.Every, leastWatch)}
	}
	ticker := clock.System{}.NewTicker(w.Every)
	defer ticker.Stop()
	var last *peer.StatusResponse
	for shown := 0; w.Count == 0 || shown < w.Count; {
		response, err := c.client.Status(ctx, connect.NewRequest(&peer.StatusRequest{}))
		if ctx.Err() != nil && last != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "watch")
		}
		if now := steady(response.Msg); !proto.Equal(now, last) {
			last = now
			shown++
			if err := c.show(response.Msg); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
	return nil
}

// show writes one state under the time at which it was seen.
func (c *call) show(s *peer.StatusResponse) error {
	if c.arguments.JSON {
		return c.writeJSON(s)
	}
	if _, err := fmt.Fprintf(c.out, "== %s\n", clock.System{}.Now().Format(time.RFC3339)); err != nil {
		return errors.Wrap(err, "write time")
	}
	return c.writeStatus(s)
}

// steady returns the status without the ages that change at each look.
func steady(s *peer.StatusResponse) *peer.StatusResponse {
	copied := proto.CloneOf(s)
	for _, e := range copied.GetEntries() {
		e.RenewedMs = 0
	}
	return copied
}
