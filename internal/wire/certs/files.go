package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
)

// reloadInterval is the shortest time between two checks of the files for changes.
const reloadInterval = 5 * time.Second

// Files holds the paths of the PEM files of a process. The zero value means no TLS.
type Files struct {
	// Authority is the file of the CA certificates that sign the certificates of all processes and operators.
	Authority string
	// Certificate is the file of the process's certificate chain.
	Certificate string
	// Key is the file of the process's private key.
	Key string
}

// Enabled reports whether TLS is used.
func (f Files) Enabled() bool {
	return f != Files{}
}

// Source provides TLS settings and reloads the files when they change. It is safe for concurrent use.
type Source struct {
	files Files
	clock clock.Clock

	mu sync.Mutex
	// checked is when the files were last checked for changes.
	checked  time.Time
	modTimes [3]time.Time
	pair     *tls.Certificate
	pool     *x509.CertPool
}

// Load reads the files. It fails if a file can't be read or the key doesn't match the certificate.
func Load(files Files, c clock.Clock) (*Source, error) {
	s := &Source{files: files, clock: c}
	return s, s.read()
}

// Server returns settings for a listener that requires client certificates signed by the authority.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps dial with a TLS handshake. The server's certificate must be signed by the authority and be valid for
// the host of the address.
func (s *Source) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "split address")
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, s.client(host))
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "dial with TLS"), plain.Close())
		}
		return secured, nil
	}
}

// client returns settings for one connection. They are built for each connection, so that a reload takes effect.
func (s *Source) client(host string) *tls.Config {
	pair, pool := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		RootCAs:      pool,
		Certificates: []tls.Certificate{*pair},
		NextProtos:   []string{"h2", "http/1.1"},
	}
}

// current returns the certificate and authority, reloaded if the files have changed.
// If the reload fails, the last valid ones stay in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.checked) >= reloadInterval {
		s.checked = now
		if s.modTimes != s.statFiles() {
			_ = s.readLocked()
		}
	}
	return s.pair, s.pool
}

func (s *Source) read() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checked = s.clock.Now()
	return s.readLocked()
}

func (s *Source) readLocked() error {
	modTimes := s.statFiles()
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	authority, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return errors.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Newf("load authority: %s holds no certificate", s.files.Authority)
	}
	s.pair, s.pool, s.modTimes = &pair, pool, modTimes
	return nil
}

// statFiles returns the modification time of each file, zero if a file can't be read.
func (s *Source) statFiles() [3]time.Time {
	var modTimes [3]time.Time
	for i, path := range []string{s.files.Authority, s.files.Certificate, s.files.Key} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}
