package proof_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/app/daemon"
	"cowslipstack/internal/app/fakes"
	"cowslipstack/internal/app/opcli"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/edge/discov"
	"cowslipstack/internal/edge/front"
)

// daemons are the addresses of three daemons in this process, each with both roles and a replicated log that is synced
// to disk.
type daemons struct {
	callers   []string
	endpoints []string
	operators []string
}

// startDaemons starts the daemons and 16 fake endpoints, and returns once every daemon answers requests.
func startDaemons(ctx context.Context, b *testing.B) *daemons {
	const count = 3
	d := &daemons{}
	var peers []string
	for range count {
		d.callers, d.endpoints = append(d.callers, freeAddress(b)), append(d.endpoints, freeAddress(b))
		d.operators, peers = append(d.operators, freeAddress(b)), append(peers, freeAddress(b))
	}
	for i := range count {
		var text strings.Builder
		fmt.Fprintf(&text, "name = \"e%d\"\ndata_centre = \"dc-%d\"\nroles = [\"entry\", \"control\"]\n[log]\nlevel = \"error\"\n", i, i)
		fmt.Fprintf(&text, "[listen]\ncallers = %q\nendpoints = %q\npeers = %q\noperators = %q\n", d.callers[i], d.endpoints[i], peers[i], d.operators[i])
		fmt.Fprintf(&text, "[control]\ndata_folder = %q\n", b.TempDir())
		for p := range count {
			fmt.Fprintf(&text, "[[peers]]\nname = \"e%d\"\ndata_centre = \"dc-%d\"\naddress = %q\nroles = [\"entry\", \"control\"]\n", p, p, peers[p])
		}
		settings, err := conf.LoadDaemon(writeFile(b, "daemon.toml", text.String()))
		if err != nil {
			b.Fatal(err)
		}
		start(b, func() error { return daemon.Run(ctx, settings) })
	}
	document := writeFile(b, "environment.toml", "environment = \"bench\"\n[[pools]]\nname = \"p\"\nsize = 2\n[[services]]\nname = \""+serviceName+"\"\npool = \"p\"\navailability = 0.99\n")
	await(b, "a document", func() bool {
		return opcli.Run(ctx, []string{"--address", d.operators[0], "env", "apply", document}, opcli.Terminal{Out: io.Discard, Err: io.Discard}) == 0
	})
	for i := range 16 {
		endpoint := fakes.NewEndpoint(fakes.EndpointOptions{
			Announcement: discov.Announcement{Service: serviceName, Endpoint: fmt.Sprint("r", i), VM: fmt.Sprint("vm", i), Slots: 8, DataCentre: "dc", Rack: "r"},
			Listen:       "127.0.0.1:0", Entries: d.endpoints, Mode: fakes.ModeAnswer, Clock: clock.System{}, Logger: zap.NewNop(),
		})
		start(b, func() error { return endpoint.Run(ctx) })
	}
	for _, address := range d.callers {
		await(b, "an answer", func() bool {
			response, err := http.Get("http://" + address + "/" + serviceName + "/x")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	return d
}

// BenchmarkClaims compares requests with and without idempotency keys through three daemons on loopback.
func BenchmarkClaims(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := startDaemons(ctx, b)
	s := &system{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	for _, callers := range []int{1, 16, 64, 128, 512} {
		for _, key := range []string{"without", "with"} {
			b.Run(fmt.Sprintf("%s_key/callers=%d", key, callers), func(b *testing.B) {
				run := clock.System{}.Now()
				s.measureLoad(b, callers, func(n int) *http.Request {
					r := newRequest("POST", "http://"+d.callers[n%len(d.callers)]+"/"+serviceName+"/x")
					if key == "with" {
						r.Header.Set(front.HeaderKey, fmt.Sprint(run.UnixNano(), "-", n))
						r.Header.Set(front.HeaderKeyIssued, strconv.FormatInt(run.UnixMilli(), 10))
					}
					return r
				})
			})
		}
	}
}

// start runs a function in the background; the benchmark waits for its end and fails if it returns an error.
func start(b *testing.B, run func() error) {
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	b.Cleanup(func() {
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
}

// freeAddress returns a loopback address with a port that is free at the moment.
func freeAddress(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func writeFile(b *testing.B, name, text string) string {
	path := filepath.Join(b.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	return path
}

// await polls a condition until it holds, and fails the benchmark after 30 s.
func await(b *testing.B, what string, done func() bool) {
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("timed out waiting for %s", what)
		}
	}
}
