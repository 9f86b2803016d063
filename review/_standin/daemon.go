package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file.
const program = "target/cowslipd"

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// Offsets of a daemon's ports from the first one.
const (
	portPeer = iota
	portCallers
	portReady
	portControl
	portOperators
	portCount
)

// coreDaemons is how many daemons have a disk.
const coreDaemons = 3

// daemon is a machine of the system with its one process.
type daemon struct {
	scene    *scene
	name     string
	host     string
	port     int
	settings string
	// bindHost is where the daemon listens for others behind a forwarder, empty for its own host.
	bindHost string

	mu       sync.Mutex
	process  *os.Process
	stopping bool
	// ownEnds counts the ends that nobody ordered.
	ownEnds int
	done    chan struct{}
}

// boundPeer returns the address at which the daemon listens for others.
func (d *daemon) boundPeer() string {
	return net.JoinHostPort(d.bindHost, strconv.Itoa(d.port+portPeer))
}

// startDaemons starts the core machines and others without a disk; prepare, if there is one, is called before that.
func (s *scene) startDaemons(others int, provider string, prepare func() error) error {
	port, err := freePort()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range coreDaemons {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("127.0.0.%d:%d", i+2, port+portControl)))
	}
	for i := range coreDaemons + others {
		d := &daemon{
			scene: s, name: fmt.Sprintf("frontend-%d", i+1), host: fmt.Sprintf("127.0.0.%d", i+2), port: port, done: make(chan struct{}),
		}
		d.settings = filepath.Join(s.folder, d.name+".toml")
		s.daemons = append(s.daemons, d)
	}
	if prepare != nil {
		if err := prepare(); err != nil {
			return err
		}
	}
	for i, d := range s.daemons {
		if err := d.writeSettings(strings.Join(seeds, ", "), provider, i < coreDaemons, true); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		go d.keepRunning()
	}
	// Only the first start is a first start.
	time.Sleep(2 * time.Second)
	for i, d := range s.daemons {
		if err := d.writeSettings(strings.Join(seeds, ", "), provider, i < coreDaemons, false); err != nil {
			return err
		}
	}
	return nil
}

// freePort returns the first of some ports that are free.
func freePort() (int, error) {
	for {
		probe, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			return 0, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		if err := probe.Close(); err != nil {
			return 0, err
		}
		if port+portCount < 1<<16 {
			return port, nil
		}
	}
}

// writeSettings writes what the template of the deploy file gives with the values of a small installation.
func (d *daemon) writeSettings(seeds, provider string, disk, first bool) error {
	folder := ""
	if disk {
		folder = fmt.Sprintf("data_folder = %q\n", filepath.Join(d.scene.folder, d.name))
	}
	text := fmt.Sprintf(`name = %q
data_centre = "kwinana"
seeds = [%s]

[listen]
host = %q
bind_host = %q
peer_port = %d
callers = %q
ready = %q
operators = %q
control = %q

[control]
%sfirst_start = %t
losses = 1

[provider]
address = %q
orders_per_s = 64.0

[bounds]
lease_max_ms = 6000
gang_ms = 3000
stop_ms = 900
move_s = 1.5
maintain_s = 2
holder_ms = 3000
grace_s = 6

[limits]
memory_mb = 284
`, d.name, seeds, d.host, d.bindHost, d.port, d.address(portCallers), d.address(portReady), d.address(portOperators), d.address(portControl),
		folder, first, provider)
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// address returns the address of one of the daemon's ports.
func (d *daemon) address(offset int) string {
	return net.JoinHostPort(d.host, strconv.Itoa(d.port+offset))
}

// keepRunning runs the process and starts it again after a short delay whenever it ends. It keeps its thread, whose end, with
// that of the stand-in for whatever reason, ends the process.
func (d *daemon) keepRunning() {
	runtime.LockOSThread()
	defer close(d.done)
	for !d.isStopping() {
		if err := d.runOnce(); err != nil {
			d.scene.note("%s does not start: %v", d.name, err)
		}
		time.Sleep(restartDelay)
	}
}

func (d *daemon) runOnce() error {
	log, err := os.OpenFile(filepath.Join(d.scene.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "--site", d.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.process = command.Process
	d.mu.Unlock()
	err = command.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = nil
	if !d.stopping {
		d.ownEnds++
		d.scene.note("%s ends by itself: %v", d.name, err)
	}
	return nil
}

func (d *daemon) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// ends returns how often the process has ended by itself.
func (d *daemon) ends() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownEnds
}

// signal sends a signal to the process.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Signal(signal)
	}
}

// stop ends the process for good, frozen or not.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	<-d.done
}
