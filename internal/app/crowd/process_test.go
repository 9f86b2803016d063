package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

const (
	host = "127.88.0.1"
	// waitTimeout bounds each wait for an event; it allows for a busy machine.
	waitTimeout = 60 * time.Second
	// attemptTimeout bounds one attempt of an ordinary request.
	attemptTimeout = 5 * time.Second
	// retryPause is the time between attempts of an ordinary request.
	retryPause = 100 * time.Millisecond
	// configurationQueues is the number of queues of the configuration, which the clients that don't read ask for.
	configurationQueues = 1400
)

// process is one cowslipd that forms a group alone.
type process struct {
	t    *testing.T
	port int
	id   int
	// done is closed when the process has exited.
	done        chan struct{}
	connections *link.Connections
	version     int
	sequence    int
	jobs        int
	// accepted and refused are the paths of jobs by their answer; those without a clear answer are in neither.
	accepted, refused []string
}

func (p *process) address(offset int) string { return fmt.Sprintf("%s:%d", host, p.port+offset) }
func (p *process) peers() string             { return p.address(0) }
func (p *process) callers() string           { return p.address(1) }
func (p *process) ready() string             { return p.address(2) }
func (p *process) control() string           { return p.address(3) }
func (p *process) operators() string         { return p.address(4) }

// newProcess returns a process that isn't started, with free ports.
func newProcess(t *testing.T) *process {
	t.Helper()
	is := is.New(t)
	probe, err := net.Listen("tcp", host+":0")
	is.NoErr(err)
	p := &process{t: t, port: probe.Addr().(*net.TCPAddr).Port, done: make(chan struct{})}
	is.NoErr(probe.Close())
	return p
}

// run starts the process with a limit on open files; it is killed at the end of the test.
func (p *process) run(folder string, files int, flag, settings string) {
	p.t.Helper()
	is := is.New(p.t)
	log, err := os.Create(filepath.Join(folder, "log"))
	is.NoErr(err)
	// A Go program raises its soft limit to the hard one, so both are set.
	command := exec.Command("/bin/sh", "-c", "ulimit -n "+strconv.Itoa(files)+" && exec \"$0\" \"$1\" \"$2\"", program, flag, settings)
	command.Stdout, command.Stderr = log, log
	is.NoErr(command.Start())
	p.id = command.Process.Pid
	go func() {
		_ = command.Wait() // The error reports the signal that ended the process.
		close(p.done)
	}()
	p.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-p.done
		_ = log.Close()
		if written, err := os.ReadFile(log.Name()); err == nil && p.t.Failed() {
			p.t.Logf("end of the log: %s", written[max(0, len(written)-2000):])
		}
	})
}

// startProcess starts a process with --site and a memory limit in MB, and waits until it serves.
func startProcess(t *testing.T, memory, files int) *process {
	t.Helper()
	is := is.New(t)
	p := newProcess(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "site.toml")
	text := fmt.Sprintf("name = \"p0\"\ndata_centre = \"dc\"\nseeds = [\"%s:1\"]\n[listen]\nhost = %q\npeer_port = %d\ncallers = %q\nready = %q\n"+
		"control = %q\noperators = %q\n[control]\ndata_folder = %q\nfirst_start = true\nlosses = 0\n[limits]\nmemory_mb = %d\n[bounds]\ngrace_s = 2\n",
		host, host, p.port, p.callers(), p.ready(), p.control(), p.operators(), filepath.Join(folder, "data"), memory)
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	p.run(folder, files, "--site", path)
	ctx, stop := context.WithCancel(context.Background())
	p.connections = link.NewConnections(clock.System{}, zap.NewNop(), func(context.Context, *peer.Link) {})
	ended := make(chan error, 1)
	go func() { ended <- p.connections.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		is.NoErr(<-ended)
	})
	// Jobs need the queues of the first configuration.
	is.True(p.repeat(p.replaceConfiguration))
	is.Equal(p.requests(), servedRequests)
	t.Logf("at the start %s", p.figures())
	return p
}

// runs reports whether the process has not exited.
func (p *process) runs() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// usage returns the process's peak resident memory in MB, rounded up, and how many descriptors it has open.
func (p *process) usage() (peakMemory, descriptors int) {
	folder := fmt.Sprintf("/proc/%d/", p.id)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		if words := strings.Fields(line); words[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(words[1])
			peakMemory = (kilobytes + 1023) / 1024
		}
	}
	entries, err := os.ReadDir(folder + "fd")
	if err != nil {
		return peakMemory, 0
	}
	return peakMemory, len(entries)
}

// Columns and states of /proc/net/tcp.
const (
	tcpLocal, tcpState, tcpQueues = 1, 3, 4
	tcpEstablished, tcpListen     = "01", "0A"
)

// hasUnread reports whether connections wait to be accepted by the process, or, with data set, data waits to be read.
func (p *process) hasUnread(data bool) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(table)) {
		words := strings.Fields(line)
		_, hex, _ := strings.Cut(words[tcpLocal], ":")
		port, err := strconv.ParseUint(hex, 16, 16)
		// The process's ports follow each other.
		if err != nil || int(port) < p.port || int(port) > p.port+4 || strings.HasSuffix(words[tcpQueues], ":00000000") {
			continue
		}
		if words[tcpState] == tcpListen || data && words[tcpState] == tcpEstablished {
			return true
		}
	}
	return false
}

func (p *process) figures() string {
	memory, descriptors := p.usage()
	return fmt.Sprintf("runs=%t, peak memory %d MB, %d descriptors", p.runs(), memory, descriptors)
}

// checkBounds returns what is out of bounds: peak memory in MB, or open descriptors.
func (p *process) checkBounds(memory, files int) string {
	peak, descriptors := p.usage()
	switch {
	case !p.runs():
		return "the process has exited\n"
	case peak == 0 || descriptors == 0:
		return "the process can't be observed\n"
	case peak > memory:
		return fmt.Sprintf("the peak memory is over %d MB\n", memory)
	case descriptors > files:
		return fmt.Sprintf("over %d descriptors are open\n", files)
	}
	return ""
}

// awaitDescriptors waits until at most so many descriptors are open, and returns what is wrong if that doesn't happen.
func (p *process) awaitDescriptors(files int) string {
	if !p.repeat(func(context.Context) bool {
		_, descriptors := p.usage()
		return descriptors > 0 && descriptors <= files
	}) {
		return fmt.Sprintf("over %d descriptors stay open\n", files)
	}
	return ""
}

// servedRequests is the result of requests if all are served.
const servedRequests = "job served\nheartbeat served\nconfiguration served\nmetrics served\nreadiness served\npeer call served\n"

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
	return status == http.StatusOK
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
	queues := []map[string]any{{"host": "queue.example", "pathPrefix": "/q/", "timeoutMs": 3000, "service": "pool", "maxAttempts": 2}}
	for i := range configurationQueues {
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
	if p.call(ctx, http.MethodPost, p.control(), "/-/config/replace", string(text)) != http.StatusOK {
		return false
	}
	p.version = version
	return true
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
