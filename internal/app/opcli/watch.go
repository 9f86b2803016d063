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

// WatchCommand prints the state of the fleet each time that it changes.
type WatchCommand struct {
	Every time.Duration `arg:"--every" default:"1s" help:"time between two polls"`
	Count int           `arg:"--count" help:"number of changes to show; default: show changes until the timeout"`
}

// minWatchInterval limits the load that a watch puts on the leader.
const minWatchInterval = 100 * time.Millisecond

// run prints the state until the count or the timeout is reached. A timeout after the first state is not an error.
func (w *WatchCommand) run(ctx context.Context, c *cli) error {
	if w.Every < minWatchInterval {
		return &usageError{err: errors.Newf("--every is %s; at least %s is allowed", w.Every, minWatchInterval)}
	}
	ticker := clock.System{}.NewTicker(w.Every)
	defer ticker.Stop()
	var last *peer.StatusResponse
	for shown := 0; w.Count == 0 || shown < w.Count; {
		response, err := c.operator.Status(ctx, connect.NewRequest(&peer.StatusRequest{}))
		if ctx.Err() != nil && last != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "watch")
		}
		if current := withoutAges(response.Msg); !proto.Equal(current, last) {
			last = current
			shown++
			if err := c.writeTimedStatus(response.Msg); err != nil {
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

// writeTimedStatus writes a state with a heading of the present time; JSON has no heading.
func (c *cli) writeTimedStatus(s *peer.StatusResponse) error {
	if c.arguments.JSON {
		return c.writeJSON(s)
	}
	if _, err := fmt.Fprintf(c.out, "== %s\n", clock.System{}.Now().Format(time.RFC3339)); err != nil {
		return errors.Wrap(err, "write time")
	}
	return c.writeStatus(s)
}

// withoutAges returns a copy of the status without the ages, which differ in every poll.
func withoutAges(s *peer.StatusResponse) *peer.StatusResponse {
	copied := proto.CloneOf(s)
	for _, e := range copied.GetEntries() {
		e.RenewedMs = 0
	}
	return copied
}
