package crowd_test

import (
	"context"
	"fmt"
	"net"
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
	// mayRefuse is set if a job that is refused counts as served.
	mayRefuse bool
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
