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

// ledger counts what all endpoints ran, by the key in the body of a request.
type ledger struct {
	mu  sync.Mutex
	ran map[string]int
}

func (l *ledger) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[key]
}

// workTime is how long an endpoint works on a request.
const workTime = 20 * time.Millisecond

// endpoint runs requests whose body is a key, and answers with that key.
type endpoint struct {
	name   string
	ledger *ledger
	server *httptest.Server
}

func newEndpoint(index int, l *ledger) *endpoint {
	e := &endpoint{name: fmt.Sprintf("runner-%d", index), ledger: l}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	return e
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.ledger.mu.Lock()
	e.ledger.ran[string(body)]++
	e.ledger.mu.Unlock()
	// Work takes a while, so that faults come in the middle of it.
	time.Sleep(workTime)
	w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
	_, _ = w.Write(body)
}

// announce tells every entry that answers of the endpoint.
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
