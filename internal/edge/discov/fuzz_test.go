package discov_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/edge/discov"
	"cowslipstack/internal/model/fleet"
)

// agent records the announced endpoints.
type agent struct{ announced []fleet.Endpoint }

func (a *agent) Announce(_ context.Context, e fleet.Endpoint) (time.Duration, error) {
	a.announced = append(a.announced, e)
	return time.Second, nil
}

// FuzzAnnouncement checks that any body is either refused or announces an endpoint with valid fields.
func FuzzAnnouncement(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s","endpoint":"e","address":"127.0.0.1:1","vm":"v","slots":8,"sequence":1}`,
		`{"service":"s","endpoint":"e","address":":","vm":"v","slots":-1,"sequence":1}`, `{"colour":1}`, `[]`, ``,
		`{"service":"s","endpoint":"e","address":"[::1]:80","vm":"v","slots":8,"sequence":18446744073709551615,"leaving":true}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		a := &agent{}
		w := httptest.NewRecorder()
		discov.Handler(a, zap.NewNop()).ServeHTTP(w, httptest.NewRequest(http.MethodPost, discov.Path, bytes.NewReader(body)))
		if (w.Code == http.StatusOK) != (len(a.announced) == 1) {
			t.Fatalf("status %d, %d endpoints announced", w.Code, len(a.announced))
		}
		for _, e := range a.announced {
			host, port, err := net.SplitHostPort(e.Address)
			if number, _ := strconv.Atoi(port); number < 1 || number > 65535 {
				t.Fatalf("accepted the port %q", port)
			}
			if err != nil || host == "" || e.Service == "" || e.Name == "" || e.VM == "" || e.Slots < 1 || e.Sequence < 1 {
				t.Fatalf("accepted: %+v", e)
			}
		}
	})
}
