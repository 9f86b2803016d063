package dial

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Recaller fetches stored answers to requests with an idempotency key from other entries. It is safe for
// concurrent use.
type Recaller struct {
	clients map[string]peer.RecallClient
}

// NewRecaller returns a Recaller for the entries whose host:port addresses are given by name.
func NewRecaller(client *http.Client, addresses map[string]string) *Recaller {
	return &Recaller{clients: newClients(client, addresses, peer.NewRecallClient)}
}

// Recall asks the entry that holds a claim for the first answer. If the request is still in progress, it waits
// until the context ends.
func (r *Recaller) Recall(ctx context.Context, entry, name, digest string) (claim.Recall, error) {
	client, err := findClient(r.clients, entry)
	if err != nil {
		return claim.Recall{}, err
	}
	response, err := client.Recall(ctx, connect.NewRequest(&peer.RecallRequest{Key: name, Digest: digest}))
	if err != nil {
		return claim.Recall{}, errors.Wrap(err, "recall")
	}
	return codec.RecallFromWire(response.Msg), nil
}
