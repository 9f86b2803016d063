package main

import (
	"fmt"
	"net/http"
	"time"
)

// playForeignTakeover has another writer report once under the address of a sound server, with the fields zone, version, slots,
// coldRemainingMs and clockMs missing. Its report names no runner; the others hold. The rule is TWICE.
func playForeignTakeover(s *site) error {
	const id = "00000000000000ac"
	if err := s.configure(); err != nil {
		return err
	}
	for i := range 6 {
		s.platform.add(fmt.Sprintf("m-%d", i+1), pool)
	}
	if err := s.submit(3, id, "6000", step{"count": 4, "cpu": 2000, "memMb": 1024, "estimateMs": 6000, "antiAffinity": 1}); err != nil {
		return err
	}
	if !until(20*time.Second, func() bool { return len(s.servers.history(id)) == 4 }) {
		return fmt.Errorf("the work items don't run")
	}
	time.Sleep(time.Second)
	if s.trouble {
		named := s.servers.byID(s.servers.history(id)[0].server)
		s.call(http.MethodPost, s.control(0), "", "/-/instances/x-1/heartbeat", map[string]any{
			"service": pool, "address": named.address, "state": "ready", "capacity": serverCapacity, "labels": serverLabels,
			"born": time.Now().UnixMilli(), "seq": 1, "running": []any{}, "ended": []any{},
		}, time.Second)
	}
	time.Sleep(12 * time.Second)
	return s.checkTwice(id)
}
