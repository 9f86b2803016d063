package dial

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/wire/certs"
)

// Bytes sent and received on connections to other processes, including TLS overhead.
var (
	bytesSent     = metrics.NewCounter(`cowslip_peer_bytes_total{direction="sent"}`)
	bytesReceived = metrics.NewCounter(`cowslip_peer_bytes_total{direction="received"}`)
)

// countDialer wraps a dialer so that its connections count their bytes.
func countDialer(dial certs.DialFunc) certs.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: conn}, nil
	}
}

// CountListener wraps a listener so that its connections count their bytes in cowslip_peer_bytes_total.
func CountListener(l net.Listener) net.Listener {
	return countedListener{Listener: l}
}

type countedListener struct{ net.Listener }

// Accept waits for a connection and wraps it in a countedConn.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn}, nil
}

// countedConn adds the bytes read and written to the metrics.
type countedConn struct{ net.Conn }

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesReceived.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesSent.Add(n)
	return n, err
}
