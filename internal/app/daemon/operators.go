package daemon

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/peer"
	"cowslipstack/internal/wire/serve"
)

// compressFrom is the least size of a message, in bytes, for which compression pays.
const compressFrom = 4096

// peerParts are the services for the system's own processes; nil where a role is not played.
type peerParts struct {
	fx.In

	Replica *serve.Replica `optional:"true"`
	Control *serve.Control `optional:"true"`
	Entry   *serve.Entry   `optional:"true"`
	Slots   *serve.Slots   `optional:"true"`
	Recall  *serve.Recall  `optional:"true"`

	Environment *serve.Environment `optional:"true"`
	Fleet       *serve.Fleet       `optional:"true"`
}

// peerHandler names the handler of the system's own processes for the container.
type peerHandler struct {
	fx.Out

	Handler http.Handler `name:"peers"`
}

func newPeerHandler(parts peerParts) peerHandler {
	compression := connect.WithCompressMinBytes(compressFrom)
	handler := http.NewServeMux()
	if parts.Replica != nil {
		handler.Handle(peer.NewReplicaHandler(parts.Replica, compression))
		handler.Handle(peer.NewMembersHandler(parts.Replica, compression))
	}
	if parts.Control != nil {
		handler.Handle(peer.NewControlHandler(parts.Control, compression))
	}
	if parts.Environment != nil {
		handler.Handle(peer.NewEnvironmentHandler(parts.Environment))
	}
	if parts.Fleet != nil {
		handler.Handle(peer.NewFleetHandler(parts.Fleet, compression))
	}
	if parts.Recall != nil {
		handler.Handle(peer.NewRecallHandler(parts.Recall))
	}
	if parts.Slots != nil {
		handler.Handle(peer.NewSlotsHandler(parts.Slots, compression))
	}
	if parts.Entry != nil {
		handler.Handle(peer.NewEntryHandler(parts.Entry, compression))
	}
	return peerHandler{Handler: handler}
}

// operatorParts are what operators' calls need; the agent is nil on a process that is no entry.
type operatorParts struct {
	fx.In

	Control *dial.Control
	Clock   clock.Clock
	Agent   *agent.Agent `optional:"true"`
	Drainer *drainer
}

// operatorHandler names the handler of operators' calls for the container.
type operatorHandler struct {
	fx.Out

	Handler http.Handler `name:"operators"`
}

func newOperatorHandler(parts operatorParts) operatorHandler {
	service := &serve.Operator{Control: parts.Control}
	if parts.Agent != nil {
		service.Agent = parts.Agent
	}
	router := mux.NewRouter()
	path, handler := peer.NewOperatorHandler(service)
	router.PathPrefix(path).Handler(handler)
	path, handler = peer.NewEnvironmentHandler(&dial.Environment{Control: parts.Control})
	router.PathPrefix(path).Handler(handler)
	path, handler = peer.NewFleetHandler(&dial.Fleet{Control: parts.Control})
	router.PathPrefix(path).Handler(handler)
	path, handler = peer.NewMembersHandler(parts.Control)
	router.PathPrefix(path).Handler(handler)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if parts.Drainer.draining.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		if parts.Agent != nil && !parts.Agent.View().Lease.Valid(parts.Clock.Now()) {
			http.Error(w, "no lease", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return operatorHandler{Handler: router}
}
