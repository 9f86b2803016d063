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

// EndpointOptions says what a fake endpoint announces.
type EndpointOptions struct {
	// Announcement is what is announced; its address and sequence are filled in.
	Announcement discov.Announcement
	// Listen is the address to listen on; port 0 takes a free one.
	Listen string
	// Entries are the announcement addresses of entries; the first that answers is enough.
	Entries []string
	// Mode is how requests without a mode of their own are run.
	Mode Mode
	// Hard stops the endpoint as a VM stops: it doesn't leave, and cuts what is in progress.
	Hard bool
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes the endpoint's events.
	Logger *zap.Logger
}

// Endpoint answers requests with its own name, and counts what it ran.
type Endpoint struct {
	options EndpointOptions
	worker  *Worker
	// inProgress counts the requests that were taken and not answered yet.
	inProgress atomic.Int64
}

// NewEndpoint returns an endpoint that does nothing until it is run.
func NewEndpoint(o EndpointOptions) *Endpoint {
	return &Endpoint{options: o, worker: NewWorker(o.Announcement.Endpoint, o.Mode, o.Clock)}
}

// Run serves and announces until the context ends, then leaves.
func (e *Endpoint) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", e.options.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.options.Announcement.Address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	e.options.Logger.Info("endpoint_started", zap.String("address", e.options.Announcement.Address))
	e.announceUntil(ctx)
	if e.options.Hard {
		e.options.Logger.Info("endpoint_stopped", zap.Int64("cut", e.inProgress.Load()))
		if err := server.Close(); err != nil {
			return errors.Wrap(err, "close")
		}
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	e.options.Announcement.Leaving = true
	e.announce(context.WithoutCancel(ctx))
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), headerTimeout)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		return errors.Wrap(err, "shut down")
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ran returns how many requests the endpoint ran.
func (e *Endpoint) Ran() int {
	return e.worker.Total()
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	e.worker.ServeHTTP(w, r)
}

// announceUntil announces as often as the entries ask for, until the context ends.
func (e *Endpoint) announceUntil(ctx context.Context) {
	for {
		timer := e.options.Clock.NewTimer(e.announce(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C():
		}
	}
}

// announce tells the first entry that answers, and returns the time to the next announcement.
func (e *Endpoint) announce(ctx context.Context) time.Duration {
	// Unix time keeps the sequence rising over a restart under the same name.
	e.options.Announcement.Sequence = uint64(e.options.Clock.Now().UnixNano())
	body, err := json.Marshal(e.options.Announcement)
	if err != nil {
		e.options.Logger.Error("announcement_not_encoded", zap.Error(err))
		return announceRetry
	}
	for _, address := range e.options.Entries {
		var next time.Duration
		if next, err = post(ctx, "http://"+address+discov.Path, body); err == nil {
			return next
		}
	}
	e.options.Logger.Info("announcement_failed", zap.Error(err))
	return announceRetry
}

// post sends an announcement and returns the time to the next one.
func post(ctx context.Context, url string, body []byte) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "make announcement")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	var answer discov.Answer
	if response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(&answer)
	} else {
		err = errors.Newf("the entry answered %s", response.Status)
	}
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	return max(time.Duration(answer.NextMs)*time.Millisecond, announceRetry), nil
}
