package site

import (
	"math"
	"net/http"

	"go.uber.org/zap"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/wire/guard"
	"cowslipstack/platform"
)

// guards protect the listeners of the process from clients that overload it.
type guards struct {
	callers, ready, control, operators, peers *guard.Guard
}

const bytesPerMB = 1 << 20

// What the largest legal bodies take with the copies that decoding makes, in bytes.
const (
	// A job of 256 KiB with 20,000 steps, the most that are served, is decoded into about 600 bytes a step.
	largestJob = 13 << 20
	// A heartbeat of 4 MiB with 70,000 rows of 60 bytes is read into 8 MiB and decoded into 248 bytes a row.
	largestHeartbeat = 26 << 20
	// A configuration of 4 MiB with 25,000 queues is read into 8 MiB and decoded into 548 bytes a queue.
	largestConfiguration = 23 << 20
	// A frame of 8 MiB is read into 16 MiB.
	largestFrame = 17 << 20
	// smallBytes is what an ordinary job, heartbeat or message between replicas takes at most.
	smallBytes = 64 << 10
)

// bodyBudget returns the byte budget of the process.
func bodyBudget(settings conf.Site, memoryBytes int64) *budget.Budget {
	o := settings.Overload
	others := int64(o.ClientPercent)
	return budget.New(budget.Derive(budget.Plan{
		MemoryBytes: memoryBytes, Percent: int64(o.BodyPercent),
		Share: map[budget.Class]int64{budget.Callers: 30, budget.Workers: 25, budget.Operators: 25, budget.Peers: 20},
		Largest: map[budget.Class]int64{
			budget.Callers: largestJob, budget.Workers: largestHeartbeat, budget.Operators: largestConfiguration, budget.Peers: largestFrame,
		},
		ClientPercent: map[budget.Class]int64{
			budget.Callers: int64(o.CallersClientPercent), budget.Workers: others, budget.Operators: others, budget.Peers: others,
		},
		SmallBytes: smallBytes, MinStall: conf.Milliseconds(o.DropAfterMs),
	}))
}

// memoryOf returns the memory that the bounds of a process are derived from, in bytes.
func memoryOf(settings conf.Site) int64 {
	megabytes := settings.Limits.MemoryMb
	if megabytes <= 0 {
		megabytes = float64(settings.Overload.DefaultMemoryMb)
	}
	return int64(math.Round(megabytes)) * bytesPerMB
}

// minJobMemory is the least memory for jobs, in bytes: a job of 20,000 tasks, each a step of its own, fits.
const minJobMemory = 24 << 20

// jobMemory returns the memory that the stored jobs may take, in bytes.
func jobMemory(settings conf.Site) int64 {
	return max(minJobMemory, memoryOf(settings)*int64(settings.Overload.JobsPercent)/100)
}

const (
	// logMemoryShare is the inverse of the share of the memory that the log entries between two snapshots may take, and as much those
	// that are kept before a snapshot.
	logMemoryShare = 32
	minLogMemory   = 2 << 20
)

// logMemory returns the bytes of log entries from which a snapshot is made.
func logMemory(settings conf.Site) int {
	return int(max(minLogMemory, memoryOf(settings)/logMemoryShare))
}

const (
	// reportMemoryShare is the inverse of the share of the memory that the heartbeats of workers may take of which nothing is known.
	reportMemoryShare = 16
	minReportMemory   = 8 << 20
)

// reportMemory returns the bytes that the heartbeats of workers may take of which nothing is known.
func reportMemory(settings conf.Site) int64 {
	return max(minReportMemory, memoryOf(settings)/reportMemoryShare)
}

// newGuards derives the limits of all listeners from the settings and the process's limits on memory and descriptors.
func newGuards(settings conf.Site, c clock.Clock, logger *zap.Logger) (*guards, error) {
	o := settings.Overload
	memoryBytes := memoryOf(settings)
	available, err := guard.AvailableConnections(memoryBytes, o.ReservedDescriptors)
	if err != nil {
		return nil, err
	}
	connections := budget.ShareConnections(
		[]int{o.CallersConnections, o.ReadyConnections, o.ControlConnections, o.OperatorsConnections, o.PeersConnections}, available)
	bodies := bodyBudget(settings, memoryBytes)
	build := func(name string, connections, clientConnections int, class budget.Class) *guard.Guard {
		return guard.New(guard.Options{
			Name: name, Budget: bodies, Class: class, Connect: name == "operators", Clock: c, Logger: logger,
			Limits: guard.Limits{
				Connections: connections, ClientConnections: min(connections, clientConnections),
				Header: conf.Milliseconds(o.HeaderMs), Idle: conf.Milliseconds(o.IdleMs), Stall: conf.Milliseconds(o.StallMs),
				Body: conf.Milliseconds(o.BodyMs), Answer: conf.Milliseconds(o.AnswerMs), MinRate: int64(o.MinRate),
				MinQuiet: conf.Milliseconds(o.DropAfterMs),
			},
			Classify: func(r *http.Request) budget.Class {
				if name == "control" && platform.IsWorkerCall(r) {
					return budget.Workers
				}
				return class
			},
		})
	}
	g := &guards{
		callers:   build("callers", connections[0], o.CallersClientConnections, budget.Callers),
		ready:     build("ready", connections[1], o.ReadyClientConnections, budget.Operators),
		control:   build("control", connections[2], o.ControlClientConnections, budget.Operators),
		operators: build("operators", connections[3], o.OperatorsClientConnections, budget.Operators),
		peers:     build("peers", connections[4], o.PeersClientConnections, budget.Peers),
	}
	guard.Register(bodies, g.callers, g.ready, g.control, g.operators, g.peers)
	return g, nil
}
