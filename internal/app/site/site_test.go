package site_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipstack/internal/app/opcli"
	"cowslipstack/internal/app/site"
)

const (
	// processCount is the number of processes; the last one has no disk.
	processCount = 4
	// waitTimeout bounds each wait for an event; it allows for a busy machine.
	waitTimeout = 90 * time.Second
)

// member is one running process; done receives the result of its Run.
type member struct {
	host string
	stop context.CancelFunc
	done chan error
}

// group is a system of processes on loopback addresses.
type group struct {
	t *testing.T
	// key is the client account's key that calls present; empty for none.
	key string
	// port is the peer port; the other ports of a process follow it.
	port    int
	members []*member
}

// startGroup starts processes that know only the three seeds.
func startGroup(t *testing.T) *group {
	t.Helper()
	is := is.New(t)
	var config net.ListenConfig
	probe, err := config.Listen(t.Context(), "tcp", "127.0.0.2:0")
	is.NoErr(err)
	g := &group{t: t, port: probe.Addr().(*net.TCPAddr).Port}
	is.NoErr(probe.Close())
	for i := range processCount {
		m := &member{host: fmt.Sprintf("127.0.0.%d", i+2), done: make(chan error, 1)}
		path := filepath.Join(t.TempDir(), "site.toml")
		folder := ""
		if i < processCount-1 {
			folder = fmt.Sprintf("data_folder = %q\n", t.TempDir())
		}
		text := fmt.Sprintf("name = \"p%d\"\ndata_centre = \"dc\"\nseeds = [\"127.0.0.2:1\", \"127.0.0.3:1\", \"127.0.0.4:1\"]\n"+
			"[listen]\nhost = %q\npeer_port = %d\ncallers = %q\nready = %q\ncontrol = %q\noperators = %q\n[control]\n%sfirst_start = true\n"+
			"heartbeat_ms = 200\nelection_ms = 1500\n[bounds]\ngrace_s = 2\n",
			i, m.host, g.port, g.address(m, 1), g.address(m, 2), g.address(m, 3), g.address(m, 4), folder)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		ctx, stop := context.WithCancel(context.Background())
		m.stop = stop
		go func() {
			m.done <- site.Run(ctx, site.Options{Path: path, Out: io.Discard, Reload: make(chan struct{})})
			close(m.done)
		}()
		g.members = append(g.members, m)
	}
	t.Cleanup(func() {
		for _, m := range g.members {
			m.stop()
		}
		for _, m := range g.members {
			is.NoErr(<-m.done)
		}
	})
	return g
}

func (g *group) address(m *member, offset int) string {
	return fmt.Sprintf("%s:%d", m.host, g.port+offset)
}

// call repeats a call until it returns the wanted status, and returns the body.
func (g *group) call(method, address, path, body string, want int) string {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	last := ""
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
		if err != nil {
			g.t.Fatal(err)
		}
		r.Host = "queue.example"
		if g.key != "" {
			r.Header.Set("Authorization", "Bearer "+g.key)
		}
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		text, err := io.ReadAll(answer.Body)
		if closed := answer.Body.Close(); err != nil || closed != nil {
			continue
		}
		if last = fmt.Sprint(answer.StatusCode, " ", string(text)); answer.StatusCode == want {
			return string(text)
		}
	}
	g.t.Fatalf("%s %s%s: wanted %d, last was %s", method, address, path, want, last)
	return ""
}

// worker is a fake worker that finishes each task as soon as it is told to start it.
type worker struct {
	sequence int
	// ended are the end reports of all tasks, which each heartbeat repeats.
	ended []any
}

// heartbeat sends a heartbeat to a process and finishes the started tasks. It returns how many are finished so far.
func (w *worker) heartbeat(g *group, m *member) int {
	g.t.Helper()
	w.sequence++
	report, err := json.Marshal(map[string]any{
		"service": "pool", "address": "10.9.9.9:1", "state": "ready", "seq": w.sequence, "born": 1,
		"capacity": map[string]int{"cpu": 4000, "memMb": 4000}, "labels": []string{"a", "r1"}, "running": []any{}, "ended": w.ended,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	var orders struct {
		Start [][]any `json:"start"`
	}
	answer := g.call(http.MethodPost, g.address(m, 3), "/-/instances/i-1/heartbeat", string(report), http.StatusOK)
	if err := json.Unmarshal([]byte(answer), &orders); err != nil {
		g.t.Fatal(err)
	}
	for _, s := range orders.Start {
		w.ended = append(w.ended, []any{len(w.ended) + 1, s[0], s[1], "done", ""})
	}
	return len(w.ended)
}

// TestJobOverProcesses runs a job to completion while one process stops, which may be the leader. All calls of the job go
// through a process without a disk, and at the end each process answers for it.
func TestJobOverProcesses(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	diskless := g.members[processCount-1]
	g.call(http.MethodGet, g.address(diskless, 2), "/-/readyz", "", http.StatusOK)
	configuration := `{"version":3,"routes":[{"host":"queue.example","pathPrefix":"/q/","timeoutMs":3000,"service":"pool","maxAttempts":2}],` +
		`"services":[{"name":"pool","admissionCheck":true}]}`
	g.call(http.MethodPost, g.address(diskless, 3), "/-/config/replace", configuration, http.StatusOK)
	job := "/q/5c0e7a21d94b36f8"
	g.call(http.MethodPost, g.address(diskless, 1), job, `{"spec":"text","phases":[{"count":2,"cpu":1000},{"count":1,"cpu":1000,"after":[0]}]}`, http.StatusOK)
	w := &worker{}
	for w.heartbeat(g, diskless) < 2 {
		is.True(w.sequence < 1000)
	}
	// Whether the first member leads or follows, the others must go on without it.
	g.members[0].stop()
	is.NoErr(<-g.members[0].done)
	for w.heartbeat(g, diskless) < 3 {
		is.True(w.sequence < 1000)
	}
	w.heartbeat(g, diskless)
	for _, m := range g.members[1:] {
		is.Equal(g.call(http.MethodGet, g.address(m, 1), job, "", http.StatusOK), `{"state":"completed"}`)
		is.Equal(g.call(http.MethodGet, g.address(m, 3), "/-/config/get", "", http.StatusOK), configuration)
		g.call(http.MethodGet, g.address(m, 1), "/q/0000000000000000", "", http.StatusGone)
		g.call(http.MethodGet, g.address(m, 1), "/elsewhere/", "", http.StatusNotFound)
		is.True(strings.Contains(g.call(http.MethodGet, g.address(m, 4), "/metrics", "", http.StatusOK), "cowslip_calls_total"))
		g.runCommand(m, opcli.ExitOK, "0 queued, 0 running, 1 ended", "batch", "status")
		g.runCommand(m, opcli.ExitOK, "in pool pool, completed", "batch", "job", "5c0e7a21d94b36f8")
		g.runCommand(m, opcli.ExitOK, "i-1", "batch", "workers", "--pool", "pool")
		g.runCommand(m, opcli.ExitOK, "PLAN", "batch", "vms")
		g.runCommand(m, opcli.ExitOK, `"phase":"completed"`, "batch", "--json", "cancel", "5c0e7a21d94b36f8")
		g.runCommand(m, opcli.ExitFailure, "no such job", "batch", "job", "0000000000000000")
		g.runCommand(m, opcli.ExitUsage, "no job's identity", "batch", "cancel", "five")
	}
}

// runCommand repeats a command of the operators' command line until it exits with a code and its output contains a text.
func (g *group) runCommand(m *member, want int, text string, args ...string) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		var out, failed bytes.Buffer
		code := opcli.Run(ctx, append(args, "--address", g.address(m, 4)), opcli.Terminal{Out: &out, Err: &failed})
		if written := out.String() + failed.String(); code == want && strings.Contains(written, text) {
			return
		} else if ctx.Err() != nil {
			g.t.Fatalf("cowslip %v: code %d, wrote %q", args, code, written)
		}
	}
}
