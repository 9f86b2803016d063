package dial

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// slotsTimeout bounds a call to another entry about slots.
const slotsTimeout = 500 * time.Millisecond

// Slots calls the other entries about slots: home entries, which grant the slots of their runners, and entries
// that report to a home. It is safe for concurrent use.
type Slots struct {
	clients map[string]peer.SlotsClient
}

// NewSlots returns a client of the entries whose host:port addresses are given by name.
func NewSlots(client *http.Client, addresses map[string]string) *Slots {
	s := &Slots{clients: map[string]peer.SlotsClient{}}
	for name, address := range addresses {
		s.clients[name] = peer.NewSlotsClient(client, "http://"+address)
	}
	return s
}

// Report sends a report to a home entry and returns its answer.
func (s *Slots) Report(ctx context.Context, home string, r slots.Report) (slots.Answer, error) {
	client, ok := s.clients[home]
	if !ok {
		return slots.Answer{}, errors.Newf("no entry is named %q", home)
	}
	ctx, cancel := context.WithTimeout(ctx, slotsTimeout)
	defer cancel()
	response, err := client.ReportSlots(ctx, connect.NewRequest(codec.SlotsReportToWire(r)))
	if err != nil {
		return slots.Answer{}, err
	}
	return codec.SlotsAnswerFromWire(response.Msg), nil
}

// Wake asks an entry to send a report to a home entry soon.
func (s *Slots) Wake(ctx context.Context, entry, home string) error {
	client, ok := s.clients[entry]
	if !ok {
		return errors.Newf("no entry is named %q", entry)
	}
	ctx, cancel := context.WithTimeout(ctx, slotsTimeout)
	defer cancel()
	_, err := client.WakeSlots(ctx, connect.NewRequest(&peer.WakeSlotsRequest{Home: home}))
	return err
}
