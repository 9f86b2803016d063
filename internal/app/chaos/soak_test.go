package chaos_test

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	soakSeeds     = flag.Int("soak.seeds", 0, "number of seeds to run in addition to those of testdata/soak")
	soakSeed      = flag.Uint64("soak.seed", 1, "first of the additional seeds")
	soakDuration  = flag.Duration("soak.for", 10*time.Second, "how long faults are injected for each seed")
	soakLogFolder = flag.String("soak.keep", "", "folder to save the logs of failed seeds in")
)

// Sizes of a soak test. The first soakDisks processes have a disk, the others have none.
const (
	soakProcesses = 5
	soakDisks     = 3
	soakVMs       = 6
	soakCallers   = 4
	// recoveryTime is how long after the last fault all accepted jobs must have ended.
	recoveryTime = 25 * time.Second
)

// siteProcess is one cowslipd that finds the others through seeds. The others reach it at host through the forwarder; it
// listens on bind.
type siteProcess struct {
	name       string
	host, bind string
	port       int
	folder     string
	settings   string
	forwarder  *forwarder
	log        *os.File
	mu         sync.Mutex
	command    *exec.Cmd
}

func (p *siteProcess) address(offset int) string { return fmt.Sprintf("%s:%d", p.bind, p.port+offset) }
func (p *siteProcess) callers() string           { return p.address(1) }
func (p *siteProcess) control() string           { return p.address(3) }

// soak is the execution of one seed.
type soak struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	folder       string
	port         int
	processes    []*siteProcess
	checker      *checker
	provider     *provider
	incarnations int
	watchers     sync.WaitGroup
	version      atomic.Int64
	faultsUntil  time.Time
	// calm is set once the faults have ended.
	calm      atomic.Bool
	pickCount atomic.Uint64
	// leaderAddress is the leader's address for workers in the last reply that named one, nil before.
	leaderAddress atomic.Pointer[string]
}

// nextProcess returns the processes in turn, with a stride of 7 from an offset by the seed.
func (s *soak) nextProcess() *siteProcess {
	return s.processes[int(s.pickCount.Add(1)*7+s.seed)%len(s.processes)]
}

// remainingJobTime returns how long a job may still take until it counts as lost.
func (s *soak) remainingJobTime() time.Duration { return time.Until(s.faultsUntil) + recoveryTime }

// TestSoak runs the seeds of testdata/soak, which failed once or give CI a short run, and those that the flags ask for.
func TestSoak(t *testing.T) {
	for _, seed := range readSoakSeeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed, soakProcesses, soakVMs).execute() })
	}
	for i := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint(*soakSeed+i), func(t *testing.T) { newSoak(t, *soakSeed+i, soakProcesses, soakVMs).execute() })
	}
}

// readSoakSeeds reads testdata/soak: one seed a line, followed by the reason why it is kept.
func readSoakSeeds(t *testing.T) []uint64 {
	t.Helper()
	is := is.New(t)
	f, err := os.Open("testdata/soak")
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	var seeds []uint64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		seed, err := strconv.ParseUint(words[0], 10, 64)
		is.NoErr(err)
		seeds = append(seeds, seed)
	}
	return seeds
}

// newSoak returns a soak test with a number of processes and of VMs that run workers.
func newSoak(t *testing.T, seed uint64, processes, vms int) *soak {
	t.Helper()
	is := is.New(t)
	s := &soak{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), folder: t.TempDir(), checker: newChecker()}
	probe, err := net.Listen("tcp", "127.77.0.1:0")
	is.NoErr(err)
	s.port = probe.Addr().(*net.TCPAddr).Port
	is.NoErr(probe.Close())
	s.provider = newProvider(s, vms)
	for i := range processes {
		p := &siteProcess{
			name: fmt.Sprintf("p%d", i), host: fmt.Sprintf("127.77.1.%d", i+1), bind: fmt.Sprintf("127.77.2.%d", i+1), port: s.port,
		}
		p.forwarder, err = newForwarder(p.host+":"+strconv.Itoa(s.port), p.address(0))
		is.NoErr(err)
		t.Cleanup(p.forwarder.close)
		if i < soakDisks {
			p.folder = filepath.Join(s.folder, p.name)
		}
		p.settings = filepath.Join(s.folder, p.name+".toml")
		p.log, err = os.Create(filepath.Join(s.folder, p.name+".log"))
		is.NoErr(err)
		s.processes = append(s.processes, p)
	}
	return s
}

// writeSettings writes the settings file of a process; first sets first_start.
func (s *soak) writeSettings(p *siteProcess, first bool) {
	seeds := []string{}
	for _, o := range s.processes[:soakDisks] {
		seeds = append(seeds, strconv.Quote(o.host+":1"))
	}
	text := fmt.Sprintf("name = %q\ndata_centre = \"dc\"\nseeds = [%s]\n[listen]\nhost = %q\nbind_host = %q\npeer_port = %d\ncallers = %q\nready = %q\n"+
		"control = %q\noperators = %q\n[control]\nfirst_start = %t\ndata_folder = %q\n[provider]\naddress = %q\norders_per_s = 40\n"+
		"[bounds]\ngrace_s = 3\nholder_ms = %d\nmove_s = 0.3\n",
		p.name, strings.Join(seeds, ", "), p.host, p.bind, p.port, p.callers(), p.address(2), p.control(), p.address(4), first, p.folder,
		strings.TrimPrefix(s.provider.server.URL, "http://"), holderInterval.Milliseconds())
	is.New(s.t).NoErr(os.WriteFile(p.settings, []byte(text), 0o600))
}

func (s *soak) start(p *siteProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), siteEnv+"="+p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	is.New(s.t).NoErr(p.command.Start())
}

// stop sends a signal to a process and waits until it has exited.
func (s *soak) stop(p *siteProcess, by syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.command.Process.Signal(by); err != nil {
		s.t.Errorf("%s exited unexpectedly: %v", p.name, err)
	}
	_ = p.command.Wait() // The error reports the signal that ended the process.
}

// startSite starts all processes, until the test ends, and the workers, and applies the first configuration.
func (s *soak) startSite(configuration string) *siteCaller {
	for _, p := range s.processes {
		s.writeSettings(p, true)
		s.start(p)
		s.t.Cleanup(func() {
			s.stop(p, syscall.SIGKILL)
			is.New(s.t).NoErr(p.log.Close())
		})
	}
	s.provider.startWorkers()
	s.t.Cleanup(s.provider.close)
	operator := &siteCaller{soak: s, random: rand.New(rand.NewPCG(s.seed, 2)), client: &http.Client{Timeout: 2 * time.Second}}
	s.await("the first configuration", func() bool {
		status, _ := operator.call(http.MethodPost, s.nextProcess().control(), "/-/config/replace", configuration)
		return status == http.StatusOK
	})
	for _, p := range s.processes {
		s.writeSettings(p, false)
	}
	return operator
}

func (s *soak) execute() {
	operator := s.startSite(s.configurationText(1))
	s.faultsUntil = time.Now().Add(*soakDuration)
	faultsDone := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { operator.replaceConfigurations(faultsDone) })
	for i := range soakCallers {
		c := &siteCaller{soak: s, random: rand.New(rand.NewPCG(s.seed, uint64(10+i))), client: &http.Client{Timeout: 2 * time.Second}}
		clients.Go(func() { c.submitJobs(faultsDone) })
	}
	var restarts sync.WaitGroup
	restarts.Go(s.injectRestarts)
	s.injectFaults()
	restarts.Wait()
	s.calm.Store(true)
	close(faultsDone)
	clients.Wait()
	s.awaitReady(operator)
	s.await("the configuration", func() bool { return operator.checkConfiguration(s.version.Load()) })
	s.watchers.Wait()
	s.checkResult()
}

// awaitReady waits until all processes are ready.
func (s *soak) awaitReady(operator *siteCaller) {
	s.t.Helper()
	s.await("all processes ready", func() bool {
		for _, p := range s.processes {
			if status, _ := operator.call(http.MethodGet, p.address(2), "/-/readyz", ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (s *soak) await(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if done() {
			return
		}
	}
	s.t.Errorf("seed %d: timed out waiting for %s", s.seed, what)
	s.saveLogs()
	s.t.FailNow()
}

// checkResult reports all violations, and fails if no task was completed or a log shows a fault of the program.
func (s *soak) checkResult() {
	s.checker.withLock(func() {
		for _, job := range s.checker.jobs {
			if job.started && !job.maybeAccepted {
				s.checker.addViolation("refused: job %s started although all its submissions were refused", job.id)
			}
		}
		s.t.Logf("seed %d: %d jobs, %v", s.seed, len(s.checker.jobs), s.checker.counts)
		for _, f := range s.checker.violations {
			s.t.Errorf("seed %d: %s", s.seed, f)
		}
		if s.checker.counts["done"] == 0 {
			s.t.Errorf("seed %d: no task was completed", s.seed)
		}
	})
	s.checkLogs()
	s.saveLogs()
}

// checkLogs fails the test if a log shows a fault of the program.
func (s *soak) checkLogs() {
	for _, p := range s.processes {
		text, err := os.ReadFile(p.log.Name())
		is.New(s.t).NoErr(err)
		for _, marker := range []string{"invariant_breached", "panic:", "DATA RACE", "part_failed"} {
			if strings.Contains(string(text), marker) {
				s.t.Errorf("seed %d: the log of %s has %s: %s", s.seed, p.name, marker, excerpt(string(text), marker))
			}
		}
	}
}

// excerptBytes is how much of a log a failure shows: a report of the race detector with its stacks.
const excerptBytes = 8 << 10

// excerpt returns the part of a log that begins with the first line that has a marker.
func excerpt(text, marker string) string {
	at := strings.Index(text, marker)
	text = text[strings.LastIndexByte(text[:at], '\n')+1:]
	return text[:min(len(text), excerptBytes)]
}

// saveLogs copies the logs of a failed seed to the folder of the flag soak.keep, if it is set.
func (s *soak) saveLogs() {
	if !s.t.Failed() || *soakLogFolder == "" {
		return
	}
	for _, p := range s.processes {
		text, err := os.ReadFile(p.log.Name())
		is.New(s.t).NoErr(err)
		is.New(s.t).NoErr(os.WriteFile(filepath.Join(*soakLogFolder, filepath.Base(s.t.Name())+"-"+p.name+".log"), text, 0o600))
	}
}
