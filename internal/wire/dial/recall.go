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
	r := &Recaller{clients: map[string]peer.RecallClient{}}
	for name, address := range addresses {
		r.clients[name] = peer.NewRecallClient(client, "http://"+address)
	}
	return r
}

// Recall asks the entry that holds a claim for the first answer. If the request is still in progress, it waits
// until the context ends.
func (r *Recaller) Recall(ctx context.Context, entry, name, digest string) (claim.Recall, error) {
	client, ok := r.clients[entry]
	if !ok {
		return claim.Recall{}, errors.Newf("no entry is named %q", entry)
	}
	response, err := client.Recall(ctx, connect.NewRequest(&peer.RecallRequest{Key: name, Digest: digest}))
	if err != nil {
		return claim.Recall{}, errors.Wrap(err, "recall")
	}
	return codec.RecallFromWire(response.Msg), nil
}
