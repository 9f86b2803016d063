package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/edge/admit"
	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/edge/discov"
	"cowslipstack/internal/edge/front"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/stats"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/serve"
)

// entryModule provides and starts the components of the entry role.
var entryModule = fx.Options(
	fx.Provide(stats.New, newAgent, newEntrySender, newEntryService, newRelay, newAdmitController, newSlots, newSlotsService, newDispatcher, newResponseCache, newRecaller, newRecallService, newFront, newCallersHandler, newEndpointsHandler),
	fx.Invoke(startEntry),
)

func newAgent(settings conf.Daemon, l *loop.Loop, c clock.Clock, logger *zap.Logger, control *dial.Control, peers *dial.Entries, counter *stats.Counter) *agent.Agent {
	return agent.New(agent.Options{
		Name: string(settings.Name), Loop: l, Clock: c, Logger: logger,
		Control: control, Peers: peers, Traffic: counter, Random: rand.IntN,
		Lease: conf.Milliseconds(settings.Entry.LeaseMs),
		Renew: conf.Milliseconds(settings.Entry.RenewMs),
		TTL:   conf.Milliseconds(settings.Entry.AnnounceTTLMs),
	})
}

// newEntrySender returns the sender of announcements to the other entries.
func newEntrySender(settings conf.Daemon, client *http.Client, c clock.Clock, logger *zap.Logger) *dial.Entries {
	options := dial.EntriesOptions{Client: client, Clock: c, Logger: logger, TTL: conf.Milliseconds(settings.Entry.AnnounceTTLMs)}
	for _, p := range settings.EntryPeers() {
		if p.Name != settings.Name {
			options.Addresses = append(options.Addresses, p.Address)
		}
	}
	return dial.NewEntries(options)
}

func newEntryService(a *agent.Agent, c clock.Clock) *serve.Entry {
	return &serve.Entry{Agent: a, Clock: c}
}

// maxEndpointConnections is the maximum number of connections to one endpoint from all entries together.
const maxEndpointConnections = 64

// connectionsPerEndpoint returns this entry's share of the connections to one endpoint, at least 1.
func connectionsPerEndpoint(settings conf.Daemon) int {
	return max(1, maxEndpointConnections/len(settings.EntryPeers()))
}

func newRelay(settings conf.Daemon, lc fx.Lifecycle) *relay.Relay {
	r := relay.New(relay.Options{Connections: connectionsPerEndpoint(settings)})
	lc.Append(fx.StopHook(r.Close))
	return r
}

func newSlots(settings conf.Daemon, client *http.Client) *dial.Slots {
	return dial.NewSlots(client, otherEntries(settings))
}

func newAdmitController(settings conf.Daemon, l *loop.Loop, c clock.Clock, logger *zap.Logger, a *agent.Agent, peers *dial.Slots) *admit.Controller {
	var names []string
	for _, p := range settings.EntryPeers() {
		names = append(names, string(p.Name))
	}
	controller := admit.New(admit.Options{
		Name: string(settings.Name), Entries: names, Incarnation: rand.Uint64(),
		Loop: l, Clock: c, Logger: logger, Views: a, Peers: peers, Random: rand.IntN,
		GrantDuration: conf.Milliseconds(settings.Entry.LeaseMs),
		MaxPerRunner:  connectionsPerEndpoint(settings),
	})
	// The controller must remove a runner in the same control-loop event that removes it from the view.
	a.OnPublish(controller.Refresh)
	return controller
}

func newSlotsService(controller *admit.Controller) *serve.Slots {
	return &serve.Slots{Home: controller}
}

// newDispatcher returns the admission controller, wrapped to count requests.
func newDispatcher(a *agent.Agent, controller *admit.Controller, counter *stats.Counter) front.Dispatcher {
	return counter.WrapDispatcher(controller, a)
}

// responseCacheBytes bounds the responses that are kept in memory to answer retries.
const responseCacheBytes = 32 << 20

func newResponseCache() *claim.Cache {
	return claim.NewCache(responseCacheBytes)
}

func newRecaller(settings conf.Daemon, client *http.Client) *dial.Recaller {
	return dial.NewRecaller(client, otherEntries(settings))
}

// otherEntries returns the addresses of the other entries by name.
func otherEntries(settings conf.Daemon) map[string]string {
	addresses := map[string]string{}
	for _, p := range settings.EntryPeers() {
		if p.Name != settings.Name {
			addresses[string(p.Name)] = p.Address
		}
	}
	return addresses
}

func newRecallService(cache *claim.Cache) *serve.Recall {
	return &serve.Recall{Cache: cache}
}

type frontParams struct {
	fx.In

	Agent      *agent.Agent
	Dispatcher front.Dispatcher
	Relay      *relay.Relay
	Control    *dial.Control
	Recaller   *dial.Recaller
	Cache      *claim.Cache
	Clock      clock.Clock
	Logger     *zap.Logger
}

func newFront(settings conf.Daemon, p frontParams) *front.Front {
	return front.New(front.Options{
		Name: string(settings.Name), Views: p.Agent, Dispatcher: p.Dispatcher, Relay: p.Relay,
		Claims: p.Control, Peers: p.Recaller, Cache: p.Cache,
		Clock: p.Clock, Logger: p.Logger, BodyLimit: int64(settings.Entry.BodyLimitBytes),
	})
}

// callersHandler provides the handler of callers' requests to the container, by name.
type callersHandler struct {
	fx.Out

	Handler http.Handler `name:"callers"`
}

func newCallersHandler(f *front.Front, a *agent.Agent, counter *stats.Counter) callersHandler {
	return callersHandler{Handler: counter.WrapHandler(f.Handler(), a, front.HeaderOutcome)}
}

// endpointsHandler provides the handler of endpoints' announcements to the container, by name.
type endpointsHandler struct {
	fx.Out

	Handler http.Handler `name:"endpoints"`
}

func newEndpointsHandler(a *agent.Agent, logger *zap.Logger) endpointsHandler {
	return endpointsHandler{Handler: discov.Handler(a, logger)}
}

// startEntry starts the goroutines of the entry role.
func startEntry(settings conf.Daemon, a *agent.Agent, controller *admit.Controller, f *front.Front, peers *dial.Entries, g *tasks.Group) {
	g.Start("claim_releases", f.Run)
	g.Start("agent", a.Run)
	g.Start("slots", controller.Run)
	for name := range otherEntries(settings) {
		g.Start("slots_link", func(ctx context.Context) error { return controller.RunLink(ctx, name) })
	}
	g.Start("endpoints_lapse", a.RunExpiry)
	g.Start("endpoints_sync", a.RunSync)
	for i := range peers.Count() {
		g.Start("entry_sender", func(ctx context.Context) error { return peers.Run(ctx, i) })
	}
}
