package fakes

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/peer"
)

// maxOperationBytes limits the size of an operation's request body.
const maxOperationBytes = 1 << 20

// Handler returns the handler of the platform's interface; the paths under /fake inject and repair VM failures.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(dial.PlatformVMsPath, p.serveVMs).Methods(http.MethodGet)
	r.HandleFunc(dial.PlatformOperationsPath, p.serveOperation).Methods(http.MethodPut)
	r.HandleFunc("/fake/fail/{vm}", func(w http.ResponseWriter, r *http.Request) {
		p.Fail(mux.Vars(r)["vm"])
		w.WriteHeader(http.StatusNoContent)
	})
	r.HandleFunc("/fake/repair/{vm}", func(w http.ResponseWriter, r *http.Request) {
		p.Repair(mux.Vars(r)["vm"])
		w.WriteHeader(http.StatusNoContent)
	})
	return r
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since needs a number", http.StatusBadRequest)
		return
	}
	machines, sequence := p.changedSince(since)
	answer := &peer.PlatformVms{Sequence: sequence}
	for _, m := range machines {
		answer.Vms = append(answer.Vms, codec.PlatformVMToWire(m))
	}
	writeMessage(w, answer)
}

func (p *Platform) serveOperation(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxOperationBytes))
	if err != nil {
		return
	}
	var m peer.PlatformOperation
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := codec.OperationFromWire(&m)
	if o.Verb == 0 || o.ID == "" {
		http.Error(w, "an operation needs an id and a known verb", http.StatusBadRequest)
		return
	}
	state, err := p.Do(r.Context(), o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeMessage(w, &peer.PlatformState{State: state.String()})
}

func writeMessage(w http.ResponseWriter, m proto.Message) {
	data, err := (protojson.MarshalOptions{UseProtoNames: true}).Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(data); err != nil {
		return
	}
}
