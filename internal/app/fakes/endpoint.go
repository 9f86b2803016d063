package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/discov"
)

const (
	announceRetry   = time.Second
	announceTimeout = 2 * time.Second
	headerTimeout   = 10 * time.Second
)

// EndpointOptions configures a fake endpoint.
type EndpointOptions struct {
	// Announcement is sent to the entries; Run fills in its address and sequence.
	Announcement discov.Announcement
	// Listen is the address to listen on; port 0 picks a free port.
	Listen string
	// Entries are the entries' announcement addresses; each announcement goes to the first one that answers.
	Entries []string
	// Mode applies to requests without a valid Fake-Mode header.
	Mode Mode
	// HardStop makes the endpoint stop as a VM does: it announces no departure and cuts the requests in progress.
	HardStop bool
	// Clock times announcements and late answers.
	Clock clock.Clock
	// Logger receives the endpoint's log events.
	Logger *zap.Logger
}

// Endpoint is a fake endpoint: it answers requests with its name and counts the requests that it ran.
type Endpoint struct {
	options EndpointOptions
	handler *Handler
	// inProgress counts the requests received and not yet answered.
	inProgress atomic.Int64
}

// NewEndpoint returns an endpoint; Run starts it.
func NewEndpoint(o EndpointOptions) *Endpoint {
	return &Endpoint{options: o, handler: NewHandler(o.Announcement.Endpoint, o.Mode, o.Clock)}
}

// Run serves requests and announces the endpoint until the context ends. It then announces that the endpoint is
// leaving and shuts down; with HardStop it closes at once instead.
func (e *Endpoint) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", e.options.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.options.Announcement.Address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	e.options.Logger.Info("endpoint_started", zap.String("address", e.options.Announcement.Address))
	e.announceLoop(ctx)
	if e.options.HardStop {
		e.options.Logger.Info("endpoint_stopped", zap.Int64("cut", e.inProgress.Load()))
		if err := server.Close(); err != nil {
			return errors.Wrap(err, "close")
		}
		if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	e.options.Announcement.Leaving = true
	e.announce(context.WithoutCancel(ctx))
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), headerTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(err, "shut down")
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// TotalRuns returns the number of requests that the endpoint ran; it is safe for concurrent use.
func (e *Endpoint) TotalRuns() int {
	return e.handler.TotalRuns()
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	e.handler.ServeHTTP(w, r)
}

// announceLoop announces the endpoint at the interval that the entries ask for, until the context ends.
func (e *Endpoint) announceLoop(ctx context.Context) {
	for {
		if pause := e.announce(ctx); !clock.Sleep(ctx, e.options.Clock, pause) {
			return
		}
	}
}

// announce sends the announcement to the first entry that answers, and returns the delay before the next one.
func (e *Endpoint) announce(ctx context.Context) time.Duration {
	// Unix time keeps the sequence increasing across restarts under the same name.
	e.options.Announcement.Sequence = uint64(e.options.Clock.Now().UnixNano())
	body, err := json.Marshal(e.options.Announcement)
	if err != nil {
		e.options.Logger.Error("announcement_not_encoded", zap.Error(err))
		return announceRetry
	}
	for _, address := range e.options.Entries {
		var next time.Duration
		if next, err = postAnnouncement(ctx, "http://"+address+discov.Path, body); err == nil {
			return next
		}
	}
	e.options.Logger.Info("announcement_failed", zap.Error(err))
	return announceRetry
}

// postAnnouncement sends an announcement to one entry and returns the delay before the next one.
func postAnnouncement(ctx context.Context, url string, body []byte) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "create announcement request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	var answer discov.Answer
	if response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(&answer)
	} else {
		err = errors.Newf("entry responded with status %s", response.Status)
	}
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	return max(time.Duration(answer.NextMs)*time.Millisecond, announceRetry), nil
}
