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

// reloadInterval is the shortest time between two looks at the files.
const reloadInterval = 5 * time.Second

// Files names the PEM files of one process; the zero value means no TLS.
type Files struct {
	// Authority holds the certificates that sign all processes' and operators' certificates.
	Authority string
	// Certificate is the process's own chain.
	Certificate string
	// Key is the process's private key.
	Key string
}

// Enabled says whether TLS is used.
func (f Files) Enabled() bool {
	return f != Files{}
}

// Source gives TLS settings from files that may change; it is safe for concurrent use.
type Source struct {
	files Files
	clock clock.Clock

	mu      sync.Mutex
	looked  time.Time
	changed [3]time.Time
	pair    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files; it fails where one can't be read or they don't go together.
func Load(files Files, c clock.Clock) (*Source, error) {
	s := &Source{files: files, clock: c}
	return s, s.read()
}

// Server returns settings for a listener whose clients must show a certificate of the authority.
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

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections by dial and secures them: the server's
// certificate must be signed by the authority for the address's host.
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

// client returns settings for one connection, so that none is checked against old files.
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

// current returns the present certificate and authority, read again where the files have changed.
// Files that can't be read leave the last good ones in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.looked) >= reloadInterval {
		s.looked = now
		if s.changed != s.times() {
			_ = s.readLocked()
		}
	}
	return s.pair, s.pool
}

func (s *Source) read() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looked = s.clock.Now()
	return s.readLocked()
}

func (s *Source) readLocked() error {
	times := s.times()
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
	s.pair, s.pool, s.changed = &pair, pool, times
	return nil
}

// times returns when each file was last changed; zero where that isn't known.
func (s *Source) times() [3]time.Time {
	var times [3]time.Time
	for i, path := range []string{s.files.Authority, s.files.Certificate, s.files.Key} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
