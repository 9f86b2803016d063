package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lostBound is for how long a submission with a work item whose turn has come may have nothing running.
	lostBound = 3 * time.Second
	// foreignWriters is how many other writers report, once each.
	foreignWriters = 3
)

// playForeignReport has other writers report, once each, with a field missing. Their reports name no runner to use. The
// rule is LOST.
func playForeignReport(s *site) error {
	if err := s.configure(); err != nil {
		return err
	}
	for i := range 4 {
		s.platform.add(fmt.Sprintf("m-%d", i+1), pool)
	}
	time.Sleep(8 * time.Second)
	for i := range foreignWriters {
		id := fmt.Sprintf("00000000000000c%d", i)
		err := s.submit(3, id, lastingSpec, step{"count": 3, "cpu": 1000, "memMb": 512, "estimateMs": 1000, "longRunning": true})
		if err != nil {
			return err
		}
		accepted := time.Now()
		if s.trouble {
			s.call(http.MethodPost, s.control(0), "", fmt.Sprintf("/-/instances/x-%d/heartbeat", i), map[string]any{
				"service": pool, "zone": "dc-1", "version": "v1", "slots": 8, "state": "ready", "capacity": serverCapacity,
				"labels": serverLabels, "born": time.Now().UnixMilli(), "seq": 1, "running": []any{}, "ended": []any{},
			}, time.Second)
		}
		if !until(10*time.Second, func() bool { return len(s.servers.history(id)) > 0 }) || time.Since(accepted) > lostBound {
			return fmt.Errorf("%w: LOST: %s has nothing running for %v, and the runners are idle", errBroken, id, time.Since(accepted))
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}
