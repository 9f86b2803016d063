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
	// waitTimeout is the longest wait for one condition.
	waitTimeout = 60 * time.Second
	// faultDuration is how long a process is frozen or partitioned: longer than a lease, which lasts 3 s.
	faultDuration = 4 * time.Second
	// callerTimeout is how long a caller waits for an answer before it resends.
	callerTimeout = time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// process is one daemon; its addresses are for callers, endpoints, peers and operators, in this order.
type process struct {
	name      string
	addresses [4]string
	settings  string
	// forwarders carry the connections from this process to each other one.
	forwarders map[*process]*forwarder
	log        *os.File
	command    *exec.Cmd
}

// run is one execution of a schedule; callers call its methods from their own goroutines.
type run struct {
	t          *testing.T
	schedule   schedule
	random     *rand.Rand
	folder     string
	daemons    []*process
	executions *executionCounter

	mu         sync.Mutex
	violations []string
	outcomes   map[string]int
}

func newRun(t *testing.T, s schedule) *run {
	r := &run{
		t: t, schedule: s, random: rand.New(rand.NewPCG(s.seed, 0)), folder: t.TempDir(),
		executions: &executionCounter{counts: map[string]int{}}, outcomes: map[string]int{},
	}
	for i := range s.daemons {
		r.daemons = append(r.daemons, &process{name: fmt.Sprintf("entry-%d", i), addresses: freeAddresses(t)})
	}
	return r
}

func (r *run) execute() {
	for _, p := range r.daemons {
		r.addForwarders(p)
		r.writeSettings(p)
		r.start(p)
		defer r.stop(p)
	}
	r.applyDocument()
	announcing, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	for i := range r.schedule.endpoints {
		e := newEndpoint(i, r.executions)
		defer e.server.Close()
		background.Go(func() { r.announce(announcing, e) })
	}
	faultsDone := make(chan struct{})
	var callers sync.WaitGroup
	for i := range r.schedule.callers {
		c := &caller{run: r, index: i, random: rand.New(rand.NewPCG(r.schedule.seed, uint64(i+1))), client: &http.Client{Timeout: callerTimeout}}
		callers.Go(func() { c.sendRequests(faultsDone) })
	}
	for _, s := range r.schedule.steps {
		r.injectFault(s)
		r.t.Logf("%s %s, answers so far: %v", s.fault, s.victim, r.outcomeCounts())
	}
	close(faultsDone)
	callers.Wait()
	r.checkResult()
}

// injectFault injects one fault, ends it, and waits until the system has recovered.
func (r *run) injectFault(s step) {
	victim := r.pickVictim(s.victim)
	switch s.fault {
	case "kill":
		r.kill(victim)
		r.awaitOtherLeader(victim)
		r.start(victim)
	case "freeze":
		is.New(r.t).NoErr(victim.command.Process.Signal(syscall.SIGSTOP))
		// The frozen process can't notice that its lease lapses meanwhile.
		time.Sleep(faultDuration)
		is.New(r.t).NoErr(victim.command.Process.Signal(syscall.SIGCONT))
	case "cut", "deafen", "mute":
		r.setLoss(victim, s.fault != "mute", s.fault != "deafen")
		time.Sleep(faultDuration)
		r.awaitOtherLeader(victim)
		r.setLoss(victim, false, false)
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

// checkResult reports all violations, and fails if no request was answered or a log shows a breached invariant or a panic.
func (r *run) checkResult() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf("seed %d, answers: %v", r.schedule.seed, r.outcomes)
	for _, f := range r.violations {
		r.t.Error(f)
	}
	if r.outcomes["answered"] == 0 {
		r.t.Error("no request was answered")
	}
	for _, p := range r.daemons {
		text, err := os.ReadFile(p.log.Name())
		is.New(r.t).NoErr(err)
		if strings.Contains(string(text), "invariant_breached") || strings.Contains(string(text), "panic:") {
			r.t.Errorf("%s violated an invariant or panicked:\n%s", p.name, text)
		}
	}
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// countOutcome counts an answer by its outcome, empty for no whole answer.
func (r *run) countOutcome(outcome string) {
	if outcome == "" {
		outcome = "no_answer"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

// outcomeCounts returns the number of answers by outcome.
func (r *run) outcomeCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.outcomes)
}

// announce announces an endpoint to all daemons each second until the context ends.
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

// pickVictim returns the current leader for "leader", and a random process otherwise.
func (r *run) pickVictim(victim string) *process {
	if victim != "leader" {
		return r.daemons[r.random.IntN(len(r.daemons))]
	}
	var found *process
	r.await("a leader", func() bool {
		for _, p := range r.daemons {
			if status, err := r.status(p); err == nil {
				found = r.processByName(status.GetLeader())
				return found != nil
			}
		}
		return false
	})
	return found
}

func (r *run) processByName(name string) *process {
	for _, p := range r.daemons {
		if p.name == name {
			return p
		}
	}
	return nil
}

// awaitOtherLeader waits until the other processes have a leader that is not the victim.
func (r *run) awaitOtherLeader(victim *process) {
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

// await polls a condition until it holds; on a timeout it prints the logs and fails the test.
func (r *run) await(what string, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if done() {
			return
		}
	}
	for _, p := range r.daemons {
		text, _ := os.ReadFile(p.log.Name())
		r.t.Logf("%s:\n%s", p.name, text)
	}
	r.t.Fatalf("timed out waiting for %s", what)
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

// applyDocument applies the environment document and retries until it is accepted.
func (r *run) applyDocument() {
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

// processHost returns the loopback host on which this test's processes listen. Connections leave from 127.0.0.1, so that
// none of them takes a port there before its process listens on it.
func processHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.78.%d.%d", id>>8&0xff, id&0xff)
}

// freeAddresses reserves four loopback addresses.
func freeAddresses(t *testing.T) [4]string {
	t.Helper()
	is := is.New(t)
	var addresses [4]string
	for i := 0; i < len(addresses); {
		listener, err := net.Listen("tcp", processHost()+":0")
		is.NoErr(err)
		defer func() { is.NoErr(listener.Close()) }()
		addresses[i] = listener.Addr().String()
		if _, reserved := reservedAddresses.LoadOrStore(addresses[i], true); !reserved {
			i++
		}
	}
	return addresses
}

// reservedAddresses holds the addresses assigned to processes, so that a port that is free again until its process
// listens on it is not assigned to another process.
var reservedAddresses sync.Map
