package chaos_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// forwarder forwards TCP connections from one process to another and can drop data silently, like a network partition.
type forwarder struct {
	listener net.Listener
	target   string
	// dropOutbound and dropInbound drop what the connecting process sends and receives; its connections stay open.
	dropOutbound atomic.Bool
	dropInbound  atomic.Bool
	// delay is the latency added to each read, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// newForwarder returns a forwarder to a target that listens on an address, or on any unused one if it is empty.
func newForwarder(address, target string) (*forwarder, error) {
	listener, err := listenAt(address)
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

// close closes the listener and all connections, which ends their goroutines.
func (f *forwarder) close() {
	_ = f.listener.Close()
	f.reset()
}

// reset closes all connections.
func (f *forwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
	f.conns = nil
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
	go f.forward(to, from, &f.dropOutbound)
	go f.forward(from, to, &f.dropInbound)
}

// forward copies data until one side closes; data that arrives while drop is set is never delivered.
func (f *forwarder) forward(to, from net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if d := f.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !drop.Load() {
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

// listenAt listens on an address, or on any unreserved address if it is empty.
func listenAt(address string) (net.Listener, error) {
	if address == "" {
		return listenUnused()
	}
	return net.Listen("tcp", address)
}

// listenUnused listens on a loopback address that is not reserved for a process, and reserves it.
func listenUnused() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if _, reserved := reservedAddresses.LoadOrStore(listener.Addr().String(), true); !reserved {
		return listener, nil
	}
	// The listener stays open during the next attempt, so that the next port differs.
	next, err := listenUnused()
	return next, errors.CombineErrors(err, listener.Close())
}
