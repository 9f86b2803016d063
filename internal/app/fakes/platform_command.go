package fakes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/edge/discov"
	"cowslipstack/internal/model/fleet"
)

// PlatformCommand holds the flags of the subcommand that runs a fake platform.
type PlatformCommand struct {
	Listen   string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Pools    []string      `arg:"--pool,separate" help:"pool and its number of VMs, as name=count"`
	Services []string      `arg:"--service,separate" help:"service and the pool whose VMs run it, as name=pool"`
	Entries  []string      `arg:"--entry,separate" help:"announcement address of an entry"`
	Drain    time.Duration `arg:"--drain" default:"1s" help:"duration of a drain"`
	Reboot   time.Duration `arg:"--reboot" default:"5s" help:"duration of a reboot"`
	Join     time.Duration `arg:"--join" default:"2s" help:"duration of a join"`
	Lag      time.Duration `arg:"--lag" default:"10s" help:"delay before resource use is reported"`
	Late     bool          `arg:"--late" help:"each request takes 300 ms"`
}

// Layout of the simulated fleet.
const (
	vmsPerRack      = 4
	dataCentreCount = 3
	// endpointSlots is the number of requests that an endpoint may have in progress.
	endpointSlots = 8
)

// endpointHost runs the endpoints of the simulated VMs; only the goroutine of run changes it after setup.
type endpointHost struct {
	command  *PlatformCommand
	platform *Platform
	logger   *zap.Logger
	group    *tasks.Group
	events   chan vmEvent
	running  map[string]*tasks.Group
	// starts counts endpoint starts and makes each endpoint's name unique.
	starts int
}

// vmEvent reports that a VM came up or went down.
type vmEvent struct {
	vm    string
	epoch uint64
	up    bool
}

// vmEventBuffer is the capacity of the channel of VM events, to which the platform sends with its lock held.
const vmEventBuffer = 4096

func (c *PlatformCommand) run(ctx context.Context) error {
	logger, err := logs.New(logs.Options{})
	if err != nil {
		return err
	}
	h := &endpointHost{command: c, logger: logger, group: tasks.NewGroup(ctx), events: make(chan vmEvent, vmEventBuffer), running: map[string]*tasks.Group{}}
	h.platform = NewPlatform(PlatformOptions{
		Clock: clock.System{}, Drain: c.Drain, Reboot: c.Reboot, Join: c.Join, UsageLag: c.Lag,
		OnVMUp:   func(vm string, epoch uint64) { h.events <- vmEvent{vm: vm, epoch: epoch, up: true} },
		OnVMDown: func(vm string) { h.events <- vmEvent{vm: vm} },
	})
	if err := h.addVMs(); err != nil {
		return err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	h.group.Start("serve", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	h.group.Start("host", h.run)
	logger.Info("platform_started", zap.Stringer("address", listener.Addr()))
	<-ctx.Done()
	return errors.CombineErrors(server.Close(), h.group.Stop())
}

func (h *endpointHost) addVMs() error {
	position := 0
	for _, text := range h.command.Pools {
		pool, countText, _ := strings.Cut(text, "=")
		count, err := strconv.Atoi(countText)
		if err != nil {
			return errors.Wrapf(err, "--pool %s", text)
		}
		for i := range count {
			rack := position / vmsPerRack
			h.platform.Add(fleet.PlatformVM{
				Name: fmt.Sprintf("%s-%d", pool, i+1), Pool: pool, Size: fleet.Size{Cores: 16, MemoryMB: 64000},
				Domain: fleet.Domain{DataCentre: fmt.Sprintf("dc-%d", position%dataCentreCount+1), Switch: "switch-1", Rack: fmt.Sprintf("rack-%d", rack+1)},
			})
			position++
		}
	}
	return nil
}

// run starts and stops endpoints as VMs come up and go down.
func (h *endpointHost) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for _, running := range h.running {
				if err := running.Stop(); err != nil {
					return err
				}
			}
			return nil
		case e := <-h.events:
			if err := h.handleEvent(ctx, e); err != nil {
				return err
			}
		}
	}
}

func (h *endpointHost) handleEvent(ctx context.Context, e vmEvent) error {
	h.logger.Info("vm_changed", zap.String("vm", e.vm), zap.Bool("up", e.up), zap.Uint64("epoch", e.epoch))
	if running := h.running[e.vm]; running != nil {
		delete(h.running, e.vm)
		if err := running.Stop(); err != nil {
			return err
		}
	}
	m, service := h.vmAndService(e.vm)
	if !e.up || service == "" {
		return nil
	}
	h.starts++
	mode := ModeAnswer
	if h.command.Late {
		mode = ModeLate
	}
	endpoint := NewEndpoint(EndpointOptions{
		Announcement: discov.Announcement{
			Service: service, Endpoint: fmt.Sprintf("%s-%d", m.Name, h.starts), VM: m.Name, Epoch: max(e.epoch, 1),
			Slots: endpointSlots, DataCentre: m.Domain.DataCentre, Rack: m.Domain.Rack,
		},
		Listen: "127.0.0.1:0", Entries: h.command.Entries, Mode: mode, HardStop: true, Clock: clock.System{}, Logger: h.logger.With(zap.String("vm", m.Name)),
	})
	running := tasks.NewGroup(ctx)
	running.Start("endpoint", endpoint.Run)
	h.running[e.vm] = running
	return nil
}

// vmAndService returns a VM and the service that its pool runs; the service is empty if there is none.
func (h *endpointHost) vmAndService(vm string) (fleet.PlatformVM, string) {
	machines, _ := h.platform.changedSince(0)
	for _, m := range machines {
		for _, text := range h.command.Services {
			if service, pool, _ := strings.Cut(text, "="); m.Name == vm && m.Pool == pool {
				return m, service
			}
		}
	}
	return fleet.PlatformVM{}, ""
}
