package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// freeze is how long a daemon stands still, as long as the longest freeze in the days of the site file.
const freeze = 6800 * time.Millisecond

// playLateSubmission freezes a daemon without a disk that has got a submission. The client's time limit passes, it cancels
// at another daemon and gets a clear answer; then the daemon wakes. The rule is UNASKED.
func playLateSubmission(s *site) error {
	const id = "00000000000000b1"
	const frozen, other = 3, 4
	if err := s.configure(); err != nil {
		return err
	}
	for i := range 3 {
		s.platform.add(fmt.Sprintf("m-%d", i+1), pool)
	}
	// A first submission shows that the site works.
	if err := s.submit(frozen, "00000000000000b0", "300", step{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300}); err != nil {
		return err
	}
	if !until(10*time.Second, func() bool { return len(s.servers.history("00000000000000b0")) == 4 }) {
		return fmt.Errorf("the first submission didn't run")
	}
	if s.trouble {
		if err := s.signal(frozen, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	frozenAt := time.Now()
	body := map[string]any{"spec": "300", "phases": []step{{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300}}}
	sent, _ := s.call(http.MethodPost, s.callers(frozen), queueHost, queuePath+id, body, timeLimit)
	cancelled, _ := s.call(http.MethodDelete, s.callers(other), queueHost, queuePath+id, nil, timeLimit)
	cancelledAt := time.Now()
	if cancelled/100 != 2 && cancelled != http.StatusGone {
		return fmt.Errorf("the cancel got no clear answer")
	}
	if s.trouble {
		time.Sleep(time.Until(frozenAt.Add(freeze)))
		if err := s.signal(frozen, syscall.SIGCONT); err != nil {
			return err
		}
	}
	time.Sleep(cancelBound + 4*time.Second)
	s.call(http.MethodGet, s.callers(other), queueHost, queuePath+id, nil, timeLimit)
	for _, e := range s.servers.history(id) {
		if after := e.at.Sub(cancelledAt); e.end == "" && after > cancelBound {
			return fmt.Errorf("%w: UNASKED: %s run %d starts %v after the cancel was answered with %d (the submission itself with %d)",
				errBroken, e.item, e.run, after.Round(time.Millisecond), cancelled, sent)
		}
	}
	return nil
}
