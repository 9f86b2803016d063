package dial

import (
	"net"
	"net/http"
	"time"

	"cowslipstack/internal/wire/certs"
)

const (
	connectTimeout = 2 * time.Second
	pingAfter      = 2 * time.Second
	pingTimeout    = 2 * time.Second
	writeTimeout   = 2 * time.Second
)

// NewClient returns an HTTP/2 client for the system's own processes, with TLS where a source
// is given; it is safe for concurrent use.
func NewClient(source *certs.Source) *http.Client {
	dialPlain := dialCounted((&net.Dialer{Timeout: connectTimeout}).DialContext)
	transport := &http.Transport{
		DialContext:         dialPlain,
		TLSHandshakeTimeout: connectTimeout,
		Protocols:           new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
		},
	}
	if source == nil {
		transport.Protocols.SetUnencryptedHTTP2(true)
		return &http.Client{Transport: transport}
	}
	transport.Protocols.SetHTTP2(true)
	transport.DialTLSContext = source.Dialer(dialPlain)
	return &http.Client{Transport: secured{transport: transport}}
}

// secured sends every request with TLS, so that callers name processes by address alone.
type secured struct{ transport *http.Transport }

// RoundTrip sends a request with TLS.
func (s secured) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return s.transport.RoundTrip(r)
}
