package site

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// networkDelay is the time of a message from one machine to another, resendInterval that after which held bytes are sent again.
	networkDelay   = 1400 * time.Microsecond
	resendInterval = 50 * time.Millisecond
	// backlog bounds the connections that wait to be accepted.
	backlog = 256
)

// network connects the machines of a day in memory. Bytes are held up by a cut, as TCP does, and what a machine does while it stands still
// takes effect once it goes on.
type network struct {
	mu       sync.Mutex
	random   *rand.Rand
	machines map[netip.Addr]*machine
	// cutUntil is until when what the first machine sends doesn't reach the second.
	cutUntil map[[2]netip.Addr]time.Time
}

// machine is one life of a process, with its part of the network.
type machine struct {
	network *network
	address netip.Addr
	// ended is closed once the process is dead, and thawed while the machine doesn't stand still. dark means that it lost its power.
	ended  chan struct{}
	thawed chan struct{}
	dark   bool
	accept map[uint16]chan net.Conn
	conns  map[*conn]struct{}
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)), machines: map[netip.Addr]*machine{}, cutUntil: map[[2]netip.Addr]time.Time{},
	}
}

// start begins a new life of the machine at an address.
func (n *network) start(address netip.Addr) *machine {
	m := &machine{
		network: n, address: address, ended: make(chan struct{}), thawed: make(chan struct{}), accept: map[uint16]chan net.Conn{},
		conns: map[*conn]struct{}{},
	}
	close(m.thawed)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[address] = m
	return m
}

// cut cuts what one machine sends to another until a time.
func (n *network) cut(from, to netip.Addr, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutUntil[[2]netip.Addr{from, to}] = until
}

// passes reports whether what one machine sends reaches another.
func (n *network) passes(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !time.Now().Before(n.cutUntil[[2]netip.Addr{from, to}])
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutUntil)
}

func (n *network) happens(one, of int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(of) < one
}

// freeze lets the machine stand still until thaw.
func (m *machine) freeze() {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.thawed = make(chan struct{})
}

func (m *machine) thaw() {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	select {
	case <-m.thawed:
	default:
		close(m.thawed)
	}
}

// waitThawed waits while the machine stands still.
func (m *machine) waitThawed() {
	m.network.mu.Lock()
	thawed := m.thawed
	m.network.mu.Unlock()
	<-thawed
}

func (m *machine) isThawed() bool {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	select {
	case <-m.thawed:
		return true
	default:
		return false
	}
}

// end ends the life of the machine: with power its connections are reset, without they stay silent.
func (m *machine) end(dark bool) {
	m.network.mu.Lock()
	m.dark = dark
	conns := m.conns
	m.conns = map[*conn]struct{}{}
	close(m.ended)
	m.network.mu.Unlock()
	m.thaw()
	for c := range conns {
		c.end(dark)
	}
}

func (m *machine) isDead() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// resetConnections resets the connections of the machine.
func (m *machine) resetConnections() {
	m.network.mu.Lock()
	conns := m.conns
	m.conns = map[*conn]struct{}{}
	m.network.mu.Unlock()
	for c := range conns {
		c.end(false)
	}
}

// DialContext opens a connection to an address.
func (m *machine) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	for {
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
		case <-time.After(networkDelay * 2):
		}
		m.waitThawed()
		if !m.network.passes(m.address, to.Addr()) || !m.network.passes(to.Addr(), m.address) {
			continue
		}
		m.network.mu.Lock()
		other := m.network.machines[to.Addr()]
		gone := other == nil || other.dark
		var accept chan net.Conn
		if !gone && !other.isDead() {
			accept = other.accept[to.Port()]
		}
		m.network.mu.Unlock()
		if gone {
			continue
		}
		if accept == nil {
			return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", address)
		}
		own, remote := m.network.connect(m, other, to.Port())
		select {
		case accept <- remote:
			return own, nil
		default:
			return nil, errors.Wrapf(syscall.ETIMEDOUT, "dial %s", address)
		}
	}
}

// listener accepts the connections to a port of a machine.
type listener struct {
	machine *machine
	port    uint16
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (m *machine) listen(port uint16) *listener {
	l := &listener{machine: m, port: port, accept: make(chan net.Conn, backlog), closed: make(chan struct{})}
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.accept[port] = l.accept
	return l
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.accept:
		l.machine.waitThawed()
		return c, nil
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(l.machine.address, l.port))
}
