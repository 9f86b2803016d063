package chaos_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"cowslipstack/internal/edge/discov"
	"cowslipstack/internal/edge/relay"
)

// executionCounter counts how often each request ran on all endpoints, by the key in its body.
type executionCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *executionCounter) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[key]
}

// processingTime is how long an endpoint takes for a request.
const processingTime = 20 * time.Millisecond

// endpoint runs requests whose body is a key, and answers with that key.
type endpoint struct {
	name       string
	executions *executionCounter
	server     *httptest.Server
}

func newEndpoint(index int, l *executionCounter) *endpoint {
	e := &endpoint{name: fmt.Sprintf("runner-%d", index), executions: l}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	return e
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.executions.mu.Lock()
	e.executions.counts[string(body)]++
	e.executions.mu.Unlock()
	// The request takes a while, so that faults hit it while it is in progress.
	time.Sleep(processingTime)
	w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
	_, _ = w.Write(body)
}

// announce announces the endpoint to each entry; entries that don't answer are skipped.
func (e *endpoint) announce(addresses []string) {
	body, err := json.Marshal(discov.Announcement{
		Service: "credits", Endpoint: e.name, Address: strings.TrimPrefix(e.server.URL, "http://"),
		VM: "vm-" + e.name, Slots: 8, DataCentre: "dc-1", Rack: "rack-" + e.name, Sequence: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return
	}
	client := &http.Client{Timeout: time.Second}
	for _, address := range addresses {
		if response, err := client.Post("http://"+address+discov.Path, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
	}
}
