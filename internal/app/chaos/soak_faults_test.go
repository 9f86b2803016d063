package chaos_test

import (
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/matryer/is"
)

// injectFaults injects overlapping faults until the time is up, and returns when all have ended. A process has at
// most one fault at a time. Disks are wiped one at a time and more than 8 s apart, so that what a disk held is restored
// before the next one is wiped.
func (s *soak) injectFaults() {
	var active sync.WaitGroup
	defer active.Wait()
	idle := make(chan *siteProcess, soakProcesses)
	for _, i := range s.random.Perm(soakProcesses) {
		idle <- s.processes[i]
	}
	lastWipe := time.Time{}
	for time.Now().Before(s.faultsUntil) {
		time.Sleep(time.Duration(200+s.random.IntN(900)) * time.Millisecond)
		duration := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
		switch kind := s.random.IntN(10); kind {
		case 0:
			if names := s.provider.runningVMs(); len(names) > 0 {
				s.provider.crashWorker(names[s.random.IntN(len(names))])
			}
		case 1:
			active.Go(func() {
				s.provider.setUnavailable(true)
				time.Sleep(duration)
				s.provider.setUnavailable(false)
			})
		default:
			var victim *siteProcess
			select {
			case victim = <-idle:
			default:
				continue
			}
			wipe := kind == 2 && victim.folder != "" && time.Since(lastWipe) > 8*time.Second
			if wipe {
				lastWipe = time.Now()
			}
			active.Go(func() {
				s.injectFault(victim, kind, wipe, duration)
				idle <- victim
			})
		}
	}
}

// injectFault injects one fault into a process and ends it: 2 and 3 kill, 4 restart, 5 freeze, 6 connections reset, 7 and 8
// one-way partitions, other kinds latency.
func (s *soak) injectFault(p *siteProcess, kind int, wipe bool, duration time.Duration) {
	s.t.Logf("%s %s: fault %d, wipe %t, %v", time.Now().Format("15:04:05.000"), p.name, kind, wipe, duration)
	f := p.forwarder
	switch kind {
	case 2, 3:
		if leader := s.leaderAddress.Load(); leader != nil && *leader == p.control() {
			s.checker.count("leader_kills", 1)
		}
		s.stop(p, syscall.SIGKILL)
		if wipe {
			is.New(s.t).NoErr(os.RemoveAll(p.folder))
		}
		time.Sleep(duration / 2)
		s.start(p)
	case 4:
		s.stop(p, syscall.SIGTERM)
		s.start(p)
	case 5:
		p.mu.Lock()
		defer p.mu.Unlock()
		if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
			s.t.Errorf("%s exited unexpectedly: %v", p.name, err)
		}
		time.Sleep(duration)
		if err := p.command.Process.Signal(syscall.SIGCONT); err != nil {
			s.t.Errorf("%s exited unexpectedly: %v", p.name, err)
		}
	case 6:
		f.reset()
	case 7:
		f.dropInbound.Store(true)
		time.Sleep(duration)
		f.dropInbound.Store(false)
		f.reset()
	case 8:
		f.dropOutbound.Store(true)
		time.Sleep(duration)
		f.dropOutbound.Store(false)
		f.reset()
	default:
		f.delay.Store(int64(time.Duration(20+len(p.name)*30) * time.Millisecond))
		time.Sleep(duration)
		f.delay.Store(0)
	}
}
