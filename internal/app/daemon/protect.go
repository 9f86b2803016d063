package daemon

import (
	"go.uber.org/zap"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/edge/front"
	"cowslipstack/internal/wire/guard"
)

// guards protect the listeners of the process from clients that overload it.
type guards struct {
	callers, endpoints, operators, peers *guard.Guard
}

const bytesPerMB = 1 << 20

// What the largest legal bodies take with the copies that reading and decoding make, in bytes.
const (
	// largestRequest is for the part of a caller's request that is kept.
	largestRequest = 2 * front.MaxKeptBodyBytes
	// largestAnnouncement is for an endpoint's announcement of 16 KiB.
	largestAnnouncement = 128 << 10
	// largestMessage is for a message of connect, read, decompressed and decoded.
	largestMessage = 4 * guard.MaxConnectBytes
	// smallBytes is what an ordinary request or message between processes takes at most.
	smallBytes = 64 << 10
)

// newGuards derives the limits of all listeners from the settings and the process's limit on descriptors.
func newGuards(settings conf.Daemon, c clock.Clock, logger *zap.Logger) (*guards, error) {
	o := settings.Overload
	memoryBytes := int64(o.MemoryMb) * bytesPerMB
	available, err := guard.AvailableConnections(memoryBytes, o.ReservedDescriptors)
	if err != nil {
		return nil, err
	}
	connections := budget.ShareConnections([]int{o.CallersConnections, o.EndpointsConnections, o.OperatorsConnections, o.PeersConnections}, available)
	others := int64(o.ClientPercent)
	bodies := budget.New(budget.Derive(budget.Plan{
		MemoryBytes: memoryBytes, Percent: int64(o.BodyPercent),
		Share: map[budget.Class]int64{budget.Callers: 40, budget.Workers: 10, budget.Operators: 20, budget.Peers: 30},
		Largest: map[budget.Class]int64{
			budget.Callers: largestRequest, budget.Workers: largestAnnouncement, budget.Operators: largestMessage, budget.Peers: largestMessage,
		},
		ClientPercent: map[budget.Class]int64{
			budget.Callers: int64(o.CallersClientPercent), budget.Workers: others, budget.Operators: others, budget.Peers: others,
		},
		SmallBytes: smallBytes, MinStall: conf.Milliseconds(o.DropAfterMs),
	}))
	build := func(name string, connections, clientConnections int, class budget.Class) *guard.Guard {
		options := guard.Options{
			Name: name, Budget: bodies, Class: class, Clock: c, Logger: logger, Connect: class == budget.Operators || class == budget.Peers,
			Limits: guard.Limits{
				Connections: connections, ClientConnections: min(connections, clientConnections),
				Header: conf.Milliseconds(o.HeaderMs), Idle: conf.Milliseconds(o.IdleMs), Stall: conf.Milliseconds(o.StallMs),
				Body: conf.Milliseconds(o.BodyMs), Answer: conf.Milliseconds(o.AnswerMs), MinRate: int64(o.MinRate),
				MinQuiet: conf.Milliseconds(o.DropAfterMs),
			},
		}
		if class == budget.Callers {
			options.MaxCounted = front.MaxKeptBodyBytes
		}
		return guard.New(options)
	}
	g := &guards{
		callers:   build("callers", connections[0], o.CallersClientConnections, budget.Callers),
		endpoints: build("endpoints", connections[1], o.EndpointsClientConnections, budget.Workers),
		operators: build("operators", connections[2], o.OperatorsClientConnections, budget.Operators),
		peers:     build("peers", connections[3], o.PeersClientConnections, budget.Peers),
	}
	guard.Register(bodies, g.callers, g.endpoints, g.operators, g.peers)
	return g, nil
}
