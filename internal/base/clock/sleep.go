package clock

import (
	"context"
	"time"
)

// Sleep waits for d on a clock and returns true, or false if the context ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) bool {
	timer := c.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C():
		return true
	}
}
