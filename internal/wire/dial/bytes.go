package dial

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/wire/certs"
)

// Bytes of the connections between this process and its peers, TLS included.
var (
	bytesSent     = metrics.NewCounter(`cowslip_peer_bytes_total{direction="sent"}`)
	bytesReceived = metrics.NewCounter(`cowslip_peer_bytes_total{direction="received"}`)
)

// dialCounted returns a dialer whose connections count their bytes.
func dialCounted(dial certs.DialFunc) certs.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counted{Conn: conn}, nil
	}
}

// CountListener returns a listener whose connections count their bytes.
func CountListener(l net.Listener) net.Listener {
	return countedListener{Listener: l}
}

type countedListener struct{ net.Listener }

// Accept waits for a connection that counts its bytes.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{Conn: conn}, nil
}

// counted is a connection that counts its bytes.
type counted struct{ net.Conn }

// Read reads and counts.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesReceived.Add(n)
	return n, err
}

// Write writes and counts.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesSent.Add(n)
	return n, err
}
