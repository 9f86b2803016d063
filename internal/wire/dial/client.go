package dial

import (
	"net"
	"net/http"
	"time"
)

const (
	connectTimeout = 2 * time.Second
	pingAfter      = 2 * time.Second
	pingTimeout    = 2 * time.Second
	writeTimeout   = 2 * time.Second
)

// NewClient returns an HTTP/2 client for the system's own processes; it is safe for concurrent use.
func NewClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext,
		Protocols:   protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
		},
	}}
}
