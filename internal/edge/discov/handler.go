package discov

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/model/fleet"
)

// Path is the URL path to which endpoints post their announcements.
const Path = "/v1/endpoints"

// maxBodyBytes limits the body of an announcement.
const maxBodyBytes = 16 << 10

// maxSlots is the maximum number of slots that an endpoint may announce.
const maxSlots = 4096

// Announcement is the JSON body that an endpoint posts.
type Announcement struct {
	// Service is the service that the endpoint runs.
	Service string `json:"service"`
	// Endpoint is the endpoint's own name, unique within its service and new for each start.
	Endpoint string `json:"endpoint"`
	// Address is the host:port at which the endpoint accepts requests.
	Address string `json:"address"`
	// VM is the name of the VM that the endpoint runs on.
	VM string `json:"vm"`
	// Epoch is the VM's pool epoch; 0 stands for the first one.
	Epoch uint64 `json:"epoch"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// DataCentre is the endpoint's data centre.
	DataCentre string `json:"data_centre"`
	// Rack is the endpoint's rack.
	Rack string `json:"rack"`
	// Sequence rises with each announcement, starting at 1.
	Sequence uint64 `json:"sequence"`
	// Leaving means that the endpoint stops and receives no new requests; it can't be revoked.
	Leaving bool `json:"leaving"`
}

// Agent processes the announcements of endpoints.
type Agent interface {
	// Announce returns the time until the endpoint should announce itself again.
	Announce(context.Context, fleet.Endpoint) (time.Duration, error)
}

// Answer is the JSON body of the response to an announcement.
type Answer struct {
	// NextMs is the time until the endpoint should announce itself again, in milliseconds. It has jitter, so that
	// endpoints which start at the same time don't keep announcing themselves at the same time.
	NextMs int64 `json:"next_ms"`
}

// Handler returns the HTTP handler for announcements.
func Handler(agent Agent, logger *zap.Logger) http.Handler {
	router := mux.NewRouter()
	router.Methods(http.MethodPost).Path(Path).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e, err := decode(w, r)
		if err != nil {
			logger.Debug("announcement_refused", zap.Error(err))
			status := http.StatusBadRequest
			if errors.Is(err, budget.ErrExhausted) || errors.Is(err, budget.ErrDropped) {
				status = http.StatusServiceUnavailable
				w.Header().Set("Retry-After", "1")
			}
			http.Error(w, err.Error(), status)
			return
		}
		next, err := agent.Announce(r.Context(), e)
		if err != nil {
			logger.Debug("announcement_not_taken", zap.Error(err))
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(Answer{NextMs: next.Milliseconds()}); err != nil {
			logger.Debug("answer_not_written", zap.Error(err))
		}
	})
	return router
}

// decode decodes and validates an announcement and returns its endpoint.
func decode(w http.ResponseWriter, r *http.Request) (fleet.Endpoint, error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	var a Announcement
	if err := decoder.Decode(&a); err != nil {
		return fleet.Endpoint{}, errors.Wrap(err, "announcement")
	}
	if err := a.validate(); err != nil {
		return fleet.Endpoint{}, err
	}
	return fleet.Endpoint{
		Name: a.Endpoint, Service: a.Service, Address: a.Address, VM: a.VM, Epoch: a.Epoch, Slots: a.Slots,
		Domain: fleet.Domain{DataCentre: a.DataCentre, Rack: a.Rack}, Sequence: a.Sequence, Leaving: a.Leaving,
	}, nil
}

// validate returns the first field that is missing or out of range as an error.
func (a Announcement) validate() error {
	if a.Service == "" || a.Endpoint == "" || a.VM == "" {
		return errors.New("announcement: service, endpoint and vm are needed")
	}
	if err := checkAddress(a.Address); err != nil {
		return errors.Wrap(err, "announcement: address")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Newf("announcement: slots is %d; allowed are 1 to %d", a.Slots, maxSlots)
	}
	if a.Sequence == 0 {
		return errors.New("announcement: sequence is 0; it starts at 1 and rises")
	}
	return nil
}

// checkAddress returns an error if an address can't be called.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if number, err := strconv.ParseUint(port, 10, 16); host == "" || err != nil || number == 0 {
		return errors.Newf("%q has no host, or its port is none of 1 to 65535", address)
	}
	return nil
}
