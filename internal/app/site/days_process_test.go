package site

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/link"
)

const (
	// peerPort, controlPort and callersPort are the ports of each process.
	peerPort    = 7000
	controlPort = 8000
	callersPort = 9000
	// seedCount is the number of processes that are named as seeds.
	seedCount = 3
)

// processSlot is a machine's place in a day: the process that runs there, and its disk.
type processSlot struct {
	day     *day
	name    string
	address netip.Addr
	// disk is nil for a process without one.
	disk *simulatedDisk
	// process is the one that runs, nil while none does.
	process *process
	// wakes is when a process that stands still goes on, or one that is dead starts again.
	wakes  time.Time
	frozen bool
	// stopping means that the process was told to stop.
	stopping bool
	// lost means that the disk counts as lost, back since when it is there again, zero if it isn't.
	lost bool
	back time.Time
}

// process is one life of a process, wired as in a real one but for its network, its disk and its uptime.
type process struct {
	name    string
	machine *machine
	app     *fx.App
	parts   processParts
	log     *lockedBuffer
	// lostUptime is by how much the uptime is behind, in nanoseconds.
	lostUptime atomic.Int64
}

// processParts are the parts of a process that the day uses.
type processParts struct {
	fx.In

	Loop       *loop.Loop
	Membership *member.Membership
	Drainer    *drainer
}

// lockedBuffer is a buffer for the log of a process.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the buffer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// fakeUptime is an uptime by the clock of the day, less the time that it stood still with its machine.
type fakeUptime struct {
	since time.Time
	lost  *atomic.Int64
}

// Milliseconds returns the uptime.
func (u fakeUptime) Milliseconds() int64 {
	return (time.Since(u.since) - time.Duration(u.lost.Load())).Milliseconds()
}

// settings returns the settings of a process.
func (s *processSlot) settings() (conf.Site, error) {
	seeds := s.day.seeds()
	text := fmt.Sprintf("name = %q\ndata_centre = \"dc\"\nseeds = [%s]\n[listen]\nhost = %q\npeer_port = %d\ncontrol = %q\ncallers = %q\n[control]\n"+
		"first_start = %t\nlosses = %d\nsnapshot_records = %d\n",
		s.name, strings.Join(seeds, ", "), s.address, peerPort, netip.AddrPortFrom(s.address, controlPort), netip.AddrPortFrom(s.address, callersPort),
		s.day.firstStart, s.day.kind.Losses, max(16, s.day.kind.SnapshotRecords))
	path := filepath.Join(s.day.folder, s.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return conf.Site{}, errors.Wrap(err, "write settings")
	}
	return conf.LoadSite(path)
}

// seeds returns the control addresses of some machines: of the first ones at the first start, then of any that belong to the system.
func (d *day) seeds() []string {
	order := d.random.Perm(len(d.slots))
	var all []string
	for i := range seedCount {
		at := addressOf(i)
		if !d.firstStart {
			at = d.slots[order[i]].address
		}
		all = append(all, fmt.Sprintf("%q", netip.AddrPortFrom(at, controlPort)))
	}
	return all
}

// start starts a process on the machine.
func (s *processSlot) start() error {
	settings, err := s.settings()
	if err != nil {
		return err
	}
	p := &process{name: s.name, machine: s.day.network.start(s.address), log: &lockedBuffer{}}
	logger, writer, err := logs.NewAsync(s.day.logLevel, p.log)
	if err != nil {
		return err
	}
	options := Options{Path: settings.Name, Out: p.log, Reload: make(chan struct{})}
	p.app = fx.New(Module(settings, options, logger, writer), fx.NopLogger, fx.Populate(&p.parts),
		fx.Decorate(
			func() clock.Clock { return machineClock{machine: p.machine} },
			func() clock.Uptime { return fakeUptime{since: s.day.began, lost: &p.lostUptime} },
			func(g *guards) *listeners {
				return &listeners{
					peers: g.peers.Listener(p.machine.listen(peerPort)), control: g.control.Listener(p.machine.listen(controlPort)),
					callers: g.callers.Listener(p.machine.listen(callersPort)),
				}
			},
			func(c *link.Connections) *link.Connections {
				c.UseDialer(p.machine)
				return c
			},
			func() (*disk, error) { return s.openDisk(p) },
		),
	)
	if err := p.app.Start(context.Background()); err != nil {
		return errors.Wrapf(err, "start %s", s.name)
	}
	s.day.mu.Lock()
	defer s.day.mu.Unlock()
	s.process = p
	return nil
}

func (s *processSlot) openDisk(p *process) (*disk, error) {
	if s.disk == nil {
		return &disk{}, nil
	}
	log, found, err := store.OpenFolder(&folder{disk: s.disk, machine: p.machine}, s.name, codec.Codec{})
	return &disk{log: log, recovered: found}, err
}

// kill ends the process at once: without power, what wasn't synced may be lost.
func (s *processSlot) kill(dark bool) {
	p := s.process
	if p == nil {
		return
	}
	s.process, s.frozen, s.stopping = nil, false, false
	p.machine.end(dark)
	if dark && s.disk != nil {
		s.disk.losePower(s.day.random)
	}
	s.day.ends.Go(func() { _ = p.app.Stop(context.Background()) }) // It ends with the errors of a dead disk.
	s.day.keepLog(s.name, p)
}

// stop tells the process to stop: it goes on with the calls in progress, and hands its leadership over.
func (s *processSlot) stop() {
	p := s.process
	s.stopping = true
	s.day.ends.Go(func() {
		p.parts.Drainer.drain(context.Background())
		s.day.stopped <- p
	})
}

// freeze lets the process stand still until a time, at times with its uptime.
func (s *processSlot) freeze(until time.Time) {
	p := s.process
	s.frozen, s.wakes = true, until
	if s.day.happens(s.day.kind.StandStill) {
		p.lostUptime.Add(int64(time.Until(until)))
	}
	p.machine.freeze()
	_ = p.parts.Loop.TryPost(p.machine.waitThawed) // A full loop has enough to do.
}

func (s *processSlot) thaw() {
	s.frozen = false
	s.process.machine.thaw()
}

func addressOf(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(number / 250), byte(number%250 + 1)})
}
