package chaos_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// forwarder passes bytes from one process to another, and loses them silently while it is cut.
type forwarder struct {
	listener net.Listener
	target   string
	// loseOut and loseIn lose what the connecting process sends and hears; connections stay open.
	loseOut atomic.Bool
	loseIn  atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func newForwarder(target string) (*forwarder, error) {
	listener, err := listenApart()
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: listener, target: target}
	go f.accept()
	return f, nil
}

func (f *forwarder) address() string {
	return f.listener.Addr().String()
}

// close ends the listener and all connections, and with them their goroutines.
func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

func (f *forwarder) accept() {
	for {
		from, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.connect(from)
	}
}

func (f *forwarder) connect(from net.Conn) {
	to, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = from.Close()
		return
	}
	f.mu.Lock()
	f.conns = append(f.conns, from, to)
	f.mu.Unlock()
	go pass(to, from, &f.loseOut)
	go pass(from, to, &f.loseIn)
}

// pass copies until one side ends; what is lost while lose is set never comes.
func pass(to, from net.Conn, lose *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !lose.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_, _ = io.Copy(io.Discard, from)
	_ = from.Close()
}

// listenApart listens on an address that no process was given.
func listenApart() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if _, given := givenAddresses.LoadOrStore(listener.Addr().String(), true); !given {
		return listener, nil
	}
	// The port stays taken while another one is asked for, so that the next one differs.
	next, err := listenApart()
	return next, errors.CombineErrors(err, listener.Close())
}
