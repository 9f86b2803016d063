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
	"cowslipstack/internal/wire/guard"
	"cowslipstack/internal/wire/peer"
	"cowslipstack/internal/wire/serve"
)

// minCompressBytes is the minimum size of a message that is compressed; for smaller ones compression does not pay.
const minCompressBytes = 4096

// maxPeerBytes bounds a message of another process; the largest hold an environment document.
const maxPeerBytes = 4 * guard.MaxConnectBytes

// peerParams are the services that other cowslipd processes call; those of a role that the process does not have are nil.
type peerParams struct {
	fx.In

	Replica *serve.Replica `optional:"true"`
	Control *serve.Control `optional:"true"`
	Entry   *serve.Entry   `optional:"true"`
	Slots   *serve.Slots   `optional:"true"`
	Recall  *serve.Recall  `optional:"true"`

	Environment *serve.Environment `optional:"true"`
	Fleet       *serve.Fleet       `optional:"true"`
}

// peerHandler provides the handler for other cowslipd processes to the container, by name.
type peerHandler struct {
	fx.Out

	Handler http.Handler `name:"peers"`
}

func newPeerHandler(params peerParams) peerHandler {
	limit := connect.WithReadMaxBytes(maxPeerBytes)
	compression := connect.WithHandlerOptions(connect.WithCompressMinBytes(minCompressBytes), limit)
	handler := http.NewServeMux()
	if params.Replica != nil {
		handler.Handle(peer.NewReplicaHandler(params.Replica, compression))
		handler.Handle(peer.NewMembersHandler(params.Replica, compression))
	}
	if params.Control != nil {
		handler.Handle(peer.NewControlHandler(params.Control, compression))
	}
	if params.Environment != nil {
		handler.Handle(peer.NewEnvironmentHandler(params.Environment, limit))
	}
	if params.Fleet != nil {
		handler.Handle(peer.NewFleetHandler(params.Fleet, compression))
	}
	if params.Recall != nil {
		handler.Handle(peer.NewRecallHandler(params.Recall, limit))
	}
	if params.Slots != nil {
		handler.Handle(peer.NewSlotsHandler(params.Slots, compression))
	}
	if params.Entry != nil {
		handler.Handle(peer.NewEntryHandler(params.Entry, compression))
	}
	return peerHandler{Handler: handler}
}

// operatorParams are the dependencies of the operators' handler; Agent is nil on a process without the entry role.
type operatorParams struct {
	fx.In

	Control *dial.Control
	Clock   clock.Clock
	Agent   *agent.Agent `optional:"true"`
	Drainer *drainer
}

// operatorHandler provides the handler of operators' calls to the container, by name.
type operatorHandler struct {
	fx.Out

	Handler http.Handler `name:"operators"`
}

// newOperatorHandler returns the handler of operators' calls, the health and readiness checks and the metrics. An entry
// is ready while it holds a valid lease and does not drain.
func newOperatorHandler(params operatorParams) operatorHandler {
	service := &serve.Operator{Control: params.Control}
	if params.Agent != nil {
		service.Agent = params.Agent
	}
	router := mux.NewRouter()
	limit := connect.WithReadMaxBytes(guard.MaxConnectBytes)
	path, handler := peer.NewOperatorHandler(service, limit)
	router.PathPrefix(path).Handler(handler)
	path, handler = peer.NewEnvironmentHandler(&dial.Environment{Control: params.Control}, limit)
	router.PathPrefix(path).Handler(handler)
	path, handler = peer.NewFleetHandler(&dial.Fleet{Control: params.Control}, limit)
	router.PathPrefix(path).Handler(handler)
	path, handler = peer.NewMembersHandler(params.Control, limit)
	router.PathPrefix(path).Handler(handler)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if params.Drainer.draining.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		if params.Agent != nil && !params.Agent.View().Lease.Valid(params.Clock.Now()) {
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
