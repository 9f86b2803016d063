package chaos_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// tries is how often a caller sends one request before it gives up.
	tries = 60
	// unknowns is how often it must hear that its request may have run, and that a resend won't tell, to give up.
	unknowns = 3
)

// caller sends non-idempotent requests, and resends each to any entry until it is answered.
type caller struct {
	run    *run
	index  int
	random *rand.Rand
	client *http.Client
}

// send sends requests until all faults have been made, and at least the schedule's count.
func (c *caller) send(faultsMade <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-faultsMade:
			if i >= c.run.schedule.requests {
				return
			}
		default:
		}
		c.request(fmt.Sprintf("key-%d-%d", c.index, i))
	}
}

// request sends one request until it is answered; each answer on the way must be true.
func (c *caller) request(key string) {
	issued := time.Now()
	unknown := 0
	for range tries {
		mayHaveRun := c.run.ledger.count(key) > 0
		outcome, body := c.try(key, issued)
		ran := c.run.ledger.count(key)
		c.run.tally(outcome)
		switch {
		case ran > 1:
			c.run.fault("%s ran %d times", key, ran)
		case outcome == "answered" && body != key:
			c.run.fault("%s was answered with %q", key, body)
		case outcome == "answered" && ran == 0:
			c.run.fault("%s was answered but never ran", key)
		case outcome == "not_run" && ran > 0 && !mayHaveRun:
			c.run.fault("%s ran, but its caller was told that it had not", key)
		}
		if outcome == "unknown" && !strings.Contains(body, `"safe_retry":true`) {
			unknown++
		}
		if outcome == "answered" || unknown == unknowns {
			return
		}
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
	}
}

// try sends the request to a random entry; the outcome is empty where no whole answer came.
func (c *caller) try(key string, issued time.Time) (string, string) {
	address := c.run.callersAddress(c.random.IntN(len(c.run.daemons)))
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/credits/pay", strings.NewReader(key))
	if err != nil {
		c.run.fault("%v", err)
		return "", ""
	}
	// Without this the caller's own transport would send again by itself.
	request.GetBody = nil
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Cowslip-Key-Issued", issued.UTC().Format(time.RFC3339Nano))
	response, err := c.client.Do(request)
	if err != nil {
		return "", ""
	}
	body, err := io.ReadAll(response.Body)
	if closed := response.Body.Close(); err != nil || closed != nil {
		return "", ""
	}
	return response.Header.Get("Cowslip-Outcome"), string(body)
}
