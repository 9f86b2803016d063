package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// flood is a number of complete requests, each a different one, from clients that read the answers.
type flood struct {
	process *process
	// calls is how many requests there are, and clients from how many addresses they come at once.
	calls, clients int
	request        func(i int) (method, address, path, body string)
}

// firstFloodID is the identity of a flood's first job; those of the ordinary requests are below.
const firstFloodID = 0xf100d00000000000

// newFlood returns the flood that a command describes:
//   - calls, clients: how many requests, and from how many clients.
//   - send: jobs (of tasks equal tasks in each of steps steps, with a text of so many bytes), heartbeats (each of another
//     worker, which lists so many rows), configurations (each a new version with queues queues), or waves (each of vms VMs).
func newFlood(t *testing.T, p *process, d *datadriven.TestData) *flood {
	t.Helper()
	f := &flood{process: p, calls: argument(t, d, "calls"), clients: argument(t, d, "clients")}
	var send string
	d.ScanArgs(t, "send", &send)
	switch send {
	case "jobs":
		step := fmt.Sprintf(`{"count":%d,"cpu":1000}`, argument(t, d, "tasks"))
		body := fmt.Sprintf(`{"spec":%q,"phases":[%s%s]}`, strings.Repeat("x", argument(t, d, "text")),
			strings.Repeat(step+",", argument(t, d, "steps")-1), step)
		f.request = func(i int) (method, address, path, text string) {
			return http.MethodPost, p.callers(), fmt.Sprintf("/q/%016x", uint64(firstFloodID)+uint64(i)), body
		}
	case "heartbeats":
		rows := argument(t, d, "rows")
		f.request = func(i int) (method, address, path, text string) {
			var running []string
			for row := range rows {
				running = append(running, fmt.Sprintf(`["%016x.0.0.%d",1,"",50]`, i, row))
			}
			return http.MethodPost, p.control(), fmt.Sprintf("/-/instances/worker-%d/heartbeat", i), fmt.Sprintf(
				`{"service":"pool-%d","address":"10.%d.%d.%d:1","state":"ready","seq":1,"born":1,"capacity":{"cpu":1,"memMb":1},`+
					`"labels":["a","r1"],"running":[%s],"ended":[]}`, i, 1+i>>16, i>>8&0xff, i&0xff, strings.Join(running, ","))
		}
	case "configurations":
		queues := argument(t, d, "queues")
		f.request = func(int) (method, address, path, text string) {
			p.version++
			return http.MethodPost, p.control(), "/-/config/replace", p.configuration(p.version, queues)
		}
	case "waves":
		var vms strings.Builder
		for i := range argument(t, d, "vms") {
			fmt.Fprintf(&vms, `"vm-%d",`, i)
		}
		f.request = func(i int) (method, address, path, text string) {
			return http.MethodPost, p.control(), "/-/wave-start", fmt.Sprintf(`{"wave":%d,"machines":[%s"vm"],"durationS":20,"maxCount":1}`, i, vms.String())
		}
	default:
		t.Fatalf("%s: unknown flood %s", d.Pos, send)
	}
	return f
}

// send makes all requests and returns how many got each status; 0 is for none.
func (f *flood) send() string {
	var mu sync.Mutex
	statuses := map[int]int{}
	var next atomic.Int64
	var clients sync.WaitGroup
	for n := range f.clients {
		clients.Go(func() {
			dialer := net.Dialer{Timeout: sendTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("127.88.9.%d", 1+n))}}
			transport := &http.Transport{DialContext: dialer.DialContext}
			defer transport.CloseIdleConnections()
			client := http.Client{Timeout: sendTimeout, Transport: transport}
			for i := next.Add(1); i <= int64(f.calls) && f.process.runs(); i = next.Add(1) {
				status := f.call(&client, int(i))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	var out strings.Builder
	for _, status := range slices.Sorted(maps.Keys(statuses)) {
		fmt.Fprintf(&out, "%d of status %d, ", statuses[status], status)
	}
	return out.String()
}

func (f *flood) call(client *http.Client, i int) int {
	method, address, path, body := f.request(i)
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		f.process.t.Error(err)
		return 0
	}
	r.Host = "queue.example"
	r.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}
