package dial

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/wire/certs"
)

const (
	dialTimeout  = 2 * time.Second
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
)

// NewClient returns an HTTP/2 client for calls to the system's own processes. It uses mutual TLS, or plain text
// if source is nil. It is safe for concurrent use.
func NewClient(source *certs.Source) *http.Client {
	dialTCP := countDialer((&net.Dialer{Timeout: dialTimeout}).DialContext)
	transport := &http.Transport{
		DialContext:         dialTCP,
		TLSHandshakeTimeout: dialTimeout,
		Protocols:           new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingInterval,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
		},
	}
	if source == nil {
		transport.Protocols.SetUnencryptedHTTP2(true)
		return &http.Client{Transport: transport}
	}
	transport.Protocols.SetHTTP2(true)
	transport.DialTLSContext = source.Dialer(dialTCP)
	return &http.Client{Transport: tlsTransport{transport: transport}}
}

// tlsTransport sends http URLs as https, so that callers build the same URLs with and without TLS.
type tlsTransport struct{ transport *http.Transport }

// RoundTrip sends a copy of the request over TLS.
func (t tlsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return t.transport.RoundTrip(r)
}

// newClients returns a client of one service for each named host:port address.
func newClients[C any](client *http.Client, addresses map[string]string, newClient func(connect.HTTPClient, string, ...connect.ClientOption) C) map[string]C {
	clients := make(map[string]C, len(addresses))
	for name, address := range addresses {
		clients[name] = newClient(client, "http://"+address)
	}
	return clients
}

// findClient returns the client of the named entry.
func findClient[C any](clients map[string]C, entry string) (C, error) {
	client, ok := clients[entry]
	if !ok {
		return client, errors.Newf("no entry is named %q", entry)
	}
	return client, nil
}
