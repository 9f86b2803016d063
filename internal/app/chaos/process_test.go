package chaos_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/matryer/is"
)

// addForwarders puts a forwarder between a process and each other process.
func (r *run) addForwarders(p *process) {
	p.forwarders = map[*process]*forwarder{}
	for _, o := range r.daemons {
		if o == p {
			continue
		}
		f, err := newForwarder("", o.addresses[2])
		is.New(r.t).NoErr(err)
		p.forwarders[o] = f
		r.t.Cleanup(f.close)
	}
}

// setLoss sets whether all that the victim receives (inbound) and all that it sends (outbound) is dropped.
func (r *run) setLoss(victim *process, inbound, outbound bool) {
	for _, p := range r.daemons {
		for o, f := range p.forwarders {
			if p == victim {
				f.dropInbound.Store(inbound)
				f.dropOutbound.Store(outbound)
			}
			if o == victim {
				f.dropInbound.Store(outbound)
				f.dropOutbound.Store(inbound)
			}
		}
	}
}

// writeSettings writes the settings file of a process and creates its log file.
func (r *run) writeSettings(p *process) {
	is := is.New(r.t)
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndata_centre = \"dc-1\"\nroles = [\"entry\", \"control\"]\n", p.name)
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nendpoints = %q\npeers = %q\noperators = %q\n",
		p.addresses[0], p.addresses[1], p.addresses[2], p.addresses[3])
	fmt.Fprintf(&b, "[control]\ndata_folder = %q\n", filepath.Join(r.folder, p.name))
	for _, o := range r.daemons {
		address := o.addresses[2]
		if f := p.forwarders[o]; f != nil {
			address = f.address()
		}
		fmt.Fprintf(&b, "[[peers]]\nname = %q\ndata_centre = \"dc-1\"\naddress = %q\nroles = [\"entry\", \"control\"]\n", o.name, address)
	}
	p.settings = filepath.Join(r.folder, p.name+".toml")
	is.NoErr(os.WriteFile(p.settings, []byte(b.String()), 0o600))
	log, err := os.Create(filepath.Join(r.folder, p.name+".log"))
	is.NoErr(err)
	p.log = log
}

func (r *run) start(p *process) {
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), daemonEnv+"="+p.settings)
	p.command.Stderr = p.log
	is.New(r.t).NoErr(p.command.Start())
}

func (r *run) kill(p *process) {
	is.New(r.t).NoErr(p.command.Process.Signal(syscall.SIGKILL))
	_ = p.command.Wait() // The error reports the kill.
}

// stop kills a process, frozen or not, at the end of a run and closes its log.
func (r *run) stop(p *process) {
	r.kill(p)
	is.New(r.t).NoErr(p.log.Close())
}
