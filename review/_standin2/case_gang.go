package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// gangMembers is the number of members of the gang, maxAttempts how often it has to fail until its submission does.
	gangMembers = 4
	maxAttempts = 3
	// greyAfter is how long after its start a faulty server fails what it has started.
	greyAfter = 200 * time.Millisecond
	// gangServers is the number of servers, of which one is faulty for greyTime: the site's share and length of srv_grey.
	gangServers = 12
	greyTime    = 6500 * time.Millisecond
)

// playGreyGang has one server fail all that it starts. A gang has members there in its first run. The rule is LOST: the
// submission is shown as failed although the gang has failed less than maxAttempts times.
func playGreyGang(s *site) error {
	const id = "00000000000000f1"
	if err := s.configure(); err != nil {
		return err
	}
	for i := range gangServers {
		m := s.platform.add(fmt.Sprintf("m-%d", i+1), pool)
		if i == 0 && s.trouble {
			m.server.setGrey(true)
			time.AfterFunc(greyTime, func() { m.server.setGrey(false) })
			s.record.log("server %s fails all that it starts", m.server.id)
		}
	}
	time.Sleep(2 * time.Second)
	// The members work for a second once all are present.
	err := s.submit(3, id, "1000", step{"count": gangMembers, "cpu": 1000, "memMb": 512, "estimateMs": 1000, "gang": true})
	if err != nil {
		return err
	}
	state := ""
	until(20*time.Second, func() bool {
		_, text := s.call(http.MethodGet, s.callers(4), queueHost, queuePath+id, nil, timeLimit)
		var m struct {
			State string `json:"state"`
		}
		if json.Unmarshal(text, &m) == nil {
			state = m.State
		}
		time.Sleep(200 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	runs := map[int]bool{}
	for _, e := range s.servers.history(id) {
		if e.end == "failed" {
			runs[e.run] = true
		}
	}
	s.record.log("the submission is shown as %s; the gang has failed in %d runs, %d are allowed", state, len(runs), maxAttempts-1)
	switch {
	case state == "failed" && len(runs) < maxAttempts:
		return fmt.Errorf("%w: LOST: the submission is shown as failed, and its gang has failed %d times, not %d", errBroken, len(runs), maxAttempts)
	case state == "":
		return fmt.Errorf("the submission's state can't be read")
	}
	return nil
}

// setGrey makes the server fail all that it starts, or no more.
func (v *server) setGrey(grey bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.grey = grey
}
