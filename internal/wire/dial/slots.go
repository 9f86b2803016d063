package dial

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

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
	return &Slots{clients: newClients(client, addresses, peer.NewSlotsClient)}
}

// Report sends a report to a home entry and returns its answer.
func (s *Slots) Report(ctx context.Context, home string, r slots.Report) (slots.Answer, error) {
	client, err := findClient(s.clients, home)
	if err != nil {
		return slots.Answer{}, err
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
	client, err := findClient(s.clients, entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, slotsTimeout)
	defer cancel()
	_, err = client.WakeSlots(ctx, connect.NewRequest(&peer.WakeSlotsRequest{Home: home}))
	return err
}
