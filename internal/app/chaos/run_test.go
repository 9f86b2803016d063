package chaos_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"cowslipstack/internal/wire/peer"
)

const (
	// limit is the longest wait for one event.
	limit = 60 * time.Second
	// frozen is how long a process stands still or is cut off; a lease lasts 3 s.
	frozen = 4 * time.Second
	// patience is how long a caller waits for one answer before it resends.
	patience = time.Second
	// look is the time between two looks for an event.
	look = 50 * time.Millisecond
)

// process is one daemon and its addresses.
type process struct {
	name      string
	addresses [4]string
	settings  string
	// forwarders lead from this process to each other one.
	forwarders map[*process]*forwarder
	log        *os.File
	command    *exec.Cmd
}

// run is one schedule under way.
type run struct {
	t        *testing.T
	schedule schedule
	random   *rand.Rand
	folder   string
	daemons  []*process
	ledger   *ledger

	mu     sync.Mutex
	faults []string
	counts map[string]int
}

func newRun(t *testing.T, s schedule) *run {
	r := &run{
		t: t, schedule: s, random: rand.New(rand.NewPCG(s.seed, 0)), folder: t.TempDir(),
		ledger: &ledger{ran: map[string]int{}}, counts: map[string]int{},
	}
	for i := range s.daemons {
		r.daemons = append(r.daemons, &process{name: fmt.Sprintf("entry-%d", i), addresses: freeAddresses(t)})
	}
	return r
}

func (r *run) play() {
	for _, p := range r.daemons {
		r.connect(p)
		r.write(p)
		r.start(p)
		defer r.stop(p)
	}
	r.apply()
	announcing, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	for i := range r.schedule.endpoints {
		e := newEndpoint(i, r.ledger)
		defer e.server.Close()
		background.Go(func() { r.announce(announcing, e) })
	}
	made := make(chan struct{})
	var callers sync.WaitGroup
	for i := range r.schedule.callers {
		c := &caller{run: r, index: i, random: rand.New(rand.NewPCG(r.schedule.seed, uint64(i+1))), client: &http.Client{Timeout: patience}}
		callers.Go(func() { c.send(made) })
	}
	for _, s := range r.schedule.steps {
		r.do(s)
		r.t.Logf("%s %s, answers so far: %v", s.fault, s.victim, r.tallied())
	}
	close(made)
	callers.Wait()
	r.judge()
}

// do makes one fault and waits until the system has mended it.
func (r *run) do(s step) {
	victim := r.pick(s.victim)
	switch s.fault {
	case "kill":
		r.kill(victim)
		r.leaderOther(victim)
		r.start(victim)
	case "freeze":
		is.New(r.t).NoErr(victim.command.Process.Signal(syscall.SIGSTOP))
		// The length of the fault: longer than a lease, which the frozen process can't see lapse.
		time.Sleep(frozen)
		is.New(r.t).NoErr(victim.command.Process.Signal(syscall.SIGCONT))
	case "cut", "deafen", "mute":
		r.lose(victim, s.fault != "mute", s.fault != "deafen")
		time.Sleep(frozen)
		r.leaderOther(victim)
		r.lose(victim, false, false)
	default:
		r.t.Fatalf("unknown fault %q", s.fault)
	}
	r.await("all entries ready", func() bool {
		for _, p := range r.daemons {
			if !ready(p) {
				return false
			}
		}
		return true
	})
}

func (r *run) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf("seed %d, answers: %v", r.schedule.seed, r.counts)
	for _, f := range r.faults {
		r.t.Error(f)
	}
	if r.counts["answered"] == 0 {
		r.t.Error("no request was answered")
	}
	for _, p := range r.daemons {
		text, err := os.ReadFile(p.log.Name())
		is.New(r.t).NoErr(err)
		if strings.Contains(string(text), "invariant_breached") || strings.Contains(string(text), "panic:") {
			r.t.Errorf("%s breached an invariant:\n%s", p.name, text)
		}
	}
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *run) tally(outcome string) {
	if outcome == "" {
		outcome = "no_answer"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[outcome]++
}

// tallied returns the count of answers by outcome.
func (r *run) tallied() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

func (r *run) announce(ctx context.Context, e *endpoint) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		var addresses []string
		for _, p := range r.daemons {
			addresses = append(addresses, p.addresses[1])
		}
		e.announce(addresses)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *run) callersAddress(index int) string {
	return r.daemons[index].addresses[0]
}

// pick returns the process that a step names.
func (r *run) pick(victim string) *process {
	if victim != "leader" {
		return r.daemons[r.random.IntN(len(r.daemons))]
	}
	var found *process
	r.await("a leader", func() bool {
		for _, p := range r.daemons {
			if status, err := r.status(p); err == nil {
				found = r.named(status.GetLeader())
				return found != nil
			}
		}
		return false
	})
	return found
}

func (r *run) named(name string) *process {
	for _, p := range r.daemons {
		if p.name == name {
			return p
		}
	}
	return nil
}

// leaderOther waits until the others have a leader among them.
func (r *run) leaderOther(victim *process) {
	r.await("a leader without "+victim.name, func() bool {
		for _, p := range r.daemons {
			if p == victim {
				continue
			}
			status, err := r.status(p)
			return err == nil && status.GetLeader() != "" && status.GetLeader() != victim.name
		}
		return false
	})
}

func (r *run) await(what string, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(look) {
		if done() {
			return
		}
	}
	for _, p := range r.daemons {
		text, _ := os.ReadFile(p.log.Name())
		r.t.Logf("%s:\n%s", p.name, text)
	}
	r.t.Fatalf("waited in vain for %s", what)
}

func (r *run) status(p *process) (*peer.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	client := peer.NewOperatorClient(http.DefaultClient, "http://"+p.addresses[3])
	response, err := client.Status(ctx, connect.NewRequest(&peer.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func ready(p *process) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.addresses[3] + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// apply puts the document into force, and waits until it is.
func (r *run) apply() {
	text, err := os.ReadFile(filepath.Join("testdata", "environment.toml"))
	is.New(r.t).NoErr(err)
	client := peer.NewOperatorClient(http.DefaultClient, "http://"+r.daemons[0].addresses[3])
	r.await("the document", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := client.Apply(ctx, connect.NewRequest(&peer.ApplyRequest{RequestId: "first", Document: text}))
		return err == nil
	})
}

func freeAddresses(t *testing.T) [4]string {
	t.Helper()
	is := is.New(t)
	var addresses [4]string
	for i := 0; i < len(addresses); {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { is.NoErr(listener.Close()) }()
		addresses[i] = listener.Addr().String()
		if _, given := givenAddresses.LoadOrStore(addresses[i], true); !given {
			i++
		}
	}
	return addresses
}

// givenAddresses are the addresses that processes were given: a port that was free again before its process listened
// must not go to another one.
var givenAddresses sync.Map
