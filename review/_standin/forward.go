package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// linkDelay is the delay of a link between zones, one way.
const linkDelay = 900 * time.Microsecond

// forwarder passes on the channels to one daemon, and can hold up all that goes between that daemon and another one, as a
// partition does.
type forwarder struct {
	scene  *scene
	target string
	// victim is the name of the daemon that can be cut off, as it stands in its greetings; others are the names of the rest.
	victim []byte
	others [][]byte

	mu  sync.Mutex
	cut bool
}

// forward starts a forwarder to the peer address of a daemon.
func (s *scene) forward(d *daemon, victim string, others []string) (*forwarder, error) {
	listener, err := net.Listen("tcp", d.address(portPeer))
	if err != nil {
		return nil, err
	}
	f := &forwarder{scene: s, target: d.boundPeer(), victim: []byte(victim)}
	for _, name := range others {
		f.others = append(f.others, []byte(name))
	}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go f.pass(from)
		}
	}()
	return f, nil
}

func (f *forwarder) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *forwarder) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

// channel is a channel that is passed on, of the victim or of another daemon once its first greeting has shown that.
type channel struct {
	mu     sync.Mutex
	known  bool
	victim bool
	closed bool
}

// mayBeVictim reports whether the channel is the victim's, as far as is known.
func (c *channel) mayBeVictim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.known || c.victim
}

func (c *channel) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// identify looks for the name of the sender in what it sends.
func (f *forwarder) identify(c *channel, sent []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known {
		return
	}
	c.victim = bytes.Contains(sent, f.victim)
	c.known = c.victim
	for _, other := range f.others {
		c.known = c.known || bytes.Contains(sent, other)
	}
}

func (f *forwarder) pass(from net.Conn) {
	to, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &channel{}
	go f.copy(c, to, from, true)
	f.copy(c, from, to, false)
}

// copy copies one direction. While the channel is cut, it holds what arrives; if its sender closes the channel meanwhile, that
// is lost.
func (f *forwarder) copy(c *channel, to, from net.Conn, sends bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if sends && n > 0 {
			f.identify(c, buffer[:n])
		}
		time.Sleep(linkDelay)
		for f.isCut() && c.mayBeVictim() && !c.isClosed() && !f.scene.over() {
			time.Sleep(time.Millisecond)
		}
		if n > 0 && !c.isClosed() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = to.Close()
	_ = from.Close()
}
