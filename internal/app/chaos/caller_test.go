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
	// maxSends is how often a caller sends one request before it gives up.
	maxSends = 60
	// maxUnknown is after how many unknown outcomes that are not safe to retry a caller gives up a request.
	maxUnknown = 3
)

// caller sends non-idempotent requests, and resends each to random entries until it is answered.
type caller struct {
	run    *run
	index  int
	random *rand.Rand
	client *http.Client
}

// sendRequests sends requests until all faults have been injected, and at least as many as the schedule asks for.
func (c *caller) sendRequests(faultsDone <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-faultsDone:
			if i >= c.run.schedule.requests {
				return
			}
		default:
		}
		c.sendUntilAnswered(fmt.Sprintf("key-%d-%d", c.index, i))
	}
}

// sendUntilAnswered sends one request until it is answered and checks each outcome on the way: a request must not run
// twice, be answered without having run or with another body, or have run although its outcome is not_run.
func (c *caller) sendUntilAnswered(key string) {
	issued := time.Now()
	unknown := 0
	for range maxSends {
		ranBefore := c.run.executions.count(key) > 0
		outcome, body := c.sendOnce(key, issued)
		ran := c.run.executions.count(key)
		c.run.countOutcome(outcome)
		switch {
		case ran > 1:
			c.run.addViolation("%s ran %d times", key, ran)
		case outcome == "answered" && body != key:
			c.run.addViolation("%s was answered with %q", key, body)
		case outcome == "answered" && ran == 0:
			c.run.addViolation("%s was answered but never ran", key)
		case outcome == "not_run" && ran > 0 && !ranBefore:
			c.run.addViolation("%s ran, but its caller was told that it had not", key)
		}
		if outcome == "unknown" && !strings.Contains(body, `"safe_retry":true`) {
			unknown++
		}
		if outcome == "answered" || unknown == maxUnknown {
			return
		}
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
	}
}

// sendOnce sends the request to a random entry and returns the outcome and the body; the outcome is empty without a whole
// answer.
func (c *caller) sendOnce(key string, issued time.Time) (string, string) {
	address := c.run.callersAddress(c.random.IntN(len(c.run.daemons)))
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/credits/pay", strings.NewReader(key))
	if err != nil {
		c.run.addViolation("%v", err)
		return "", ""
	}
	// Without GetBody, the HTTP transport does not resend the request by itself.
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
