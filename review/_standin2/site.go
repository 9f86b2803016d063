package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of the site, as in the settings of a small deployment.
const (
	holdMax      = 6 * time.Second
	stopDuration = 300 * time.Millisecond
	maintenance  = 2 * time.Second
	cancelBound  = 3 * time.Second
	notice       = 4500 * time.Millisecond
)

const (
	// diskCount is the number of processes with a disk, processCount that of all, as on the site.
	diskCount    = 3
	processCount = 9
	// startWait bounds the start of the site.
	startWait = 15 * time.Second
)

// process is one daemon of the site.
type process struct {
	name, host string
	command    *exec.Cmd
	output     *os.File
}

// site is the daemons with the stand-ins around them.
type site struct {
	record  *record
	trouble bool
	program string
	folder  string
	// network is the start of the loopback addresses of this run, so that several may run at once.
	network   string
	processes []*process
	ports     struct{ callers, ready, control, peer, operators int }
	platform  *platform
	servers   *servers
}

// newSite starts the platform and the daemons. The servers start with the case.
func newSite(program string, r *record, trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: r, trouble: trouble, program: program, folder: folder,
		network: fmt.Sprintf("127.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%200),
	}
	s.servers = newServers(s)
	if s.platform, err = newPlatform(s); err != nil {
		return nil, err
	}
	for _, port := range []*int{&s.ports.callers, &s.ports.ready, &s.ports.control, &s.ports.peer, &s.ports.operators} {
		if *port, err = s.freePort(); err != nil {
			return nil, err
		}
	}
	for i := range processCount {
		s.processes = append(s.processes, &process{name: fmt.Sprintf("front-%d", i+1), host: fmt.Sprintf("%s.%d", s.network, i+1)})
	}
	for i := range s.processes {
		if err := s.start(i); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// freePort returns a port that was free on a loopback address of this run a moment ago.
func (s *site) freePort() (int, error) {
	listener, err := net.Listen("tcp", s.network+".1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// start writes the settings of a process, as the template of the deploy file does, and starts it.
func (s *site) start(i int) error {
	p := s.processes[i]
	path := filepath.Join(s.folder, p.name+".toml")
	if err := os.WriteFile(path, []byte(s.settings(i)), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.folder, p.name+".log"))
	if err != nil {
		return err
	}
	p.output = output
	p.command = exec.Command(s.program, "--site", path)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.record.log("start %s at %s", p.name, p.host)
	return p.command.Start()
}

func (s *site) settings(i int) string {
	var b strings.Builder
	p := s.processes[i]
	at := func(port int) string { return fmt.Sprintf("%q", fmt.Sprintf("%s:%d", p.host, port)) }
	var seeds []string
	for _, seed := range s.processes[:diskCount] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.host, s.ports.control)))
	}
	fmt.Fprintf(&b, "name = %q\ndata_centre = \"dc-%d\"\nseeds = [%s]\n", p.name, i%diskCount+1, strings.Join(seeds, ", "))
	fmt.Fprintf(&b, "[listen]\nhost = %q\npeer_port = %d\ncallers = %s\nready = %s\noperators = %s\ncontrol = %s\n",
		p.host, s.ports.peer, at(s.ports.callers), at(s.ports.ready), at(s.ports.operators), at(s.ports.control))
	b.WriteString("[control]\n")
	if i < diskCount {
		fmt.Fprintf(&b, "data_folder = %q\nfirst_start = true\n", filepath.Join(s.folder, p.name))
	}
	b.WriteString("losses = 1\n")
	fmt.Fprintf(&b, "[provider]\naddress = %q\norders_per_s = 64.0\n", s.platform.address)
	fmt.Fprintf(&b, "[bounds]\nlease_max_ms = %d\ngang_ms = 3000\nstop_ms = 900\nmove_s = 1.5\nmaintain_s = %g\nholder_ms = 3000\ngrace_s = 6\n",
		holdMax.Milliseconds(), maintenance.Seconds())
	b.WriteString("[limits]\nmemory_mb = 284\n")
	return b.String()
}

// signal sends a signal to a process of the site.
func (s *site) signal(i int, sig syscall.Signal) error {
	s.record.log("send %v to %s", sig, s.processes[i].name)
	return s.processes[i].command.Process.Signal(sig)
}

// callers and control return the addresses of a process.
func (s *site) callers(i int) string {
	return fmt.Sprintf("%s:%d", s.processes[i].host, s.ports.callers)
}

func (s *site) control(i int) string {
	return fmt.Sprintf("%s:%d", s.processes[i].host, s.ports.control)
}

// close ends all processes and servers that were started.
func (s *site) close() {
	for _, p := range s.processes {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		_ = p.output.Close()
	}
	s.servers.stopAll()
	s.platform.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		s.record.log("kept %s", filepath.Base(s.folder))
	}
}
