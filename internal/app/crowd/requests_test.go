package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// requests makes one ordinary request of each kind until it is served, and returns what came of each.
func (p *process) requests() string {
	out := ""
	for _, k := range []struct {
		name    string
		attempt func(ctx context.Context) bool
	}{
		{"job", p.submit},
		{"heartbeat", p.heartbeat},
		{"configuration", p.replaceConfiguration},
		{"metrics", func(ctx context.Context) bool {
			return p.call(ctx, http.MethodGet, p.operators(), "/metrics", "") == http.StatusOK
		}},
		{"readiness", func(ctx context.Context) bool {
			return p.call(ctx, http.MethodGet, p.ready(), "/-/readyz", "") == http.StatusOK
		}},
		{"peer call", p.callPeer},
	} {
		if !p.repeat(k.attempt) {
			return out + k.name + " not served\n"
		}
		out += k.name + " served\n"
	}
	return out
}

// repeat makes attempts until one succeeds; it reports false when the process has exited or waitTimeout has passed.
func (p *process) repeat(attempt func(ctx context.Context) bool) bool {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline) && p.runs(); time.Sleep(retryPause) {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		served := attempt(ctx)
		cancel()
		if served {
			return true
		}
	}
	return false
}

// call makes a request over a new connection and returns the status of the answer, 0 if there is none.
func (p *process) call(ctx context.Context, method, address, path, body string) int {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		p.t.Fatal(err)
	}
	r.Host = "queue.example"
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// submit submits a new job and records the answer.
func (p *process) submit(ctx context.Context) bool {
	p.jobs++
	path := fmt.Sprintf("/q/%016x", p.jobs)
	status := p.call(ctx, http.MethodPost, p.callers(), path, `{"spec":"text","phases":[{"count":1,"cpu":1000}]}`)
	switch status {
	case http.StatusOK:
		p.accepted = append(p.accepted, path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		p.refused = append(p.refused, path)
	}
	return status == http.StatusOK || p.mayRefuse && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
}

// checkJobs returns which job isn't as its answer said: accepted jobs must be held, refused ones must not.
func (p *process) checkJobs() string {
	for _, path := range p.accepted {
		if !p.repeat(func(ctx context.Context) bool {
			return p.call(ctx, http.MethodGet, p.callers(), path, "") == http.StatusOK
		}) {
			return "an accepted job isn't held\n"
		}
	}
	for _, path := range p.refused {
		if !p.repeat(func(ctx context.Context) bool {
			return p.call(ctx, http.MethodGet, p.callers(), path, "") == http.StatusGone
		}) {
			return "a refused job is held\n"
		}
	}
	return ""
}

func (p *process) heartbeat(ctx context.Context) bool {
	p.sequence++
	report := fmt.Sprintf(`{"service":"pool","address":"10.9.9.9:1","state":"ready","seq":%d,"born":1,"capacity":{"cpu":4000,"memMb":4000},`+
		`"labels":["a","r1"],"running":[],"ended":[]}`, p.sequence)
	return p.call(ctx, http.MethodPost, p.control(), "/-/instances/i-1/heartbeat", report) == http.StatusOK
}

// replaceConfiguration makes a new version of a configuration of about 230 KB active.
func (p *process) replaceConfiguration(ctx context.Context) bool {
	version := p.version + 1
	if p.call(ctx, http.MethodPost, p.control(), "/-/config/replace", p.configuration(version, configurationQueues)) != http.StatusOK {
		return false
	}
	p.version = version
	return true
}

// configuration returns a version of the configuration with a number of queues besides that of the jobs.
func (p *process) configuration(version, count int) string {
	queues := []map[string]any{{"host": "queue.example", "pathPrefix": "/q/", "timeoutMs": 3000, "service": "pool", "maxAttempts": 2}}
	for i := range count {
		queues = append(queues, map[string]any{
			"host": fmt.Sprintf("queue-%d.example", i), "pathPrefix": "/batches-of-one-account/", "timeoutMs": 3000, "targetLatencyMs": 2000,
			"priority": 1, "service": "pool", "maxAttempts": 2,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": queues, "services": []map[string]any{{"name": "pool", "admissionCheck": true}},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return string(text)
}

// callPeer asks for a job as another process does.
func (p *process) callPeer(ctx context.Context) bool {
	call := &batch.Call{JobState: &batch.RequestTarget{Host: "queue.example", Path: p.accepted[0]}}
	answer, err := p.connections.Call(ctx, p.peers(), &peer.Link{Body: &peer.Link_Request{Request: codec.CallToWire(call)}})
	return err == nil && codec.ReplyFromWire(answer.GetReply()).Code == batch.CodeOK
}

// Sizes of the largest legal bodies.
const (
	maxJobBytes     = 256 << 10
	maxControlBytes = 4 << 20
)

// largest makes one request of each kind with a body of the largest legal size: a job with as many steps of the usual form
// as fit, a heartbeat with rows and a configuration with queues. It returns their statuses.
func (p *process) largest() string {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	p.sequence++
	p.version++
	row := `["0123456789abcdef.0.0.0",1,"checkpoint-of-the-task",50,1.5]`
	queue := `{"host":"queue-%05d.example","pathPrefix":"/batches-of-one-account/","timeoutMs":3000,"targetLatencyMs":2000,"priority":1,` +
		`"service":"pool","maxAttempts":2}`
	out := ""
	for _, k := range []struct {
		name, address, path, prefix, entry, suffix string
		size                                       int
	}{
		{"job", p.callers(), "/q/000000000000aaaa", `{"spec":"text","phases":[`, `{"count":1,"cpu":1000}`, "]}", maxJobBytes},
		{"heartbeat", p.control(), "/-/instances/i-2/heartbeat", fmt.Sprintf(
			`{"service":"pool","address":"10.9.9.8:1","state":"ready","seq":%d,"born":1,"capacity":{"cpu":4000,"memMb":4000},"ended":[],"running":[`,
			p.sequence), row, "]}", maxControlBytes},
		{
			"configuration", p.control(), "/-/config/replace", fmt.Sprintf(`{"version":%d,"services":[{"name":"pool"}],"routes":[`, p.version),
			queue, "]}", maxControlBytes,
		},
	} {
		var body strings.Builder
		body.WriteString(k.prefix)
		for i := 0; ; i++ {
			entry := k.entry
			if k.name == "configuration" {
				entry = fmt.Sprintf(entry, i)
			}
			if body.Len()+len(entry)+len(k.suffix)+1 > k.size {
				break
			}
			if i > 0 {
				body.WriteString(",")
			}
			body.WriteString(entry)
		}
		body.WriteString(k.suffix)
		out += fmt.Sprintf("%s %d\n", k.name, p.call(ctx, http.MethodPost, k.address, k.path, body.String()))
	}
	return out
}
