package crowd_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// sendTimeout bounds what one client of a crowd sends; a process may stop reading.
const sendTimeout = 10 * time.Second

// crowd is a number of clients that behave alike.
type crowd struct {
	// address is where they connect to.
	address string
	count   int
	// sources is the number of addresses that they connect from; 1 is the address of the ordinary clients.
	sources int
	// data is what each one sends, in pieces of so many bytes.
	data  []byte
	piece int
	conns []net.Conn
	// stops end what isn't a connection.
	stops []func()
	// reading is set if the clients read what they get; complete if what they send should be answered.
	reading, complete bool
	process           *process
	// streamURL is set if the clients send content on HTTP/2 streams.
	streamURL string
	content   []byte
	ended     sync.WaitGroup
}

// newCrowd returns the crowd that a command describes:
//   - clients, sources: how many clients there are, and from how many addresses.
//   - to: job, heartbeat, configuration, command (the operators' command line), peers; without --site job (any request of a
//     caller), peer-call, operator-call, announcement.
//   - send: length (a body with its length), chunks, frame, streams (bodies on HTTP/2 streams without TLS), header (a part of one),
//     nothing, kept (a request that is answered), or reads (requests whose answers aren't read).
//   - bytes, missing: how many bytes of a body or frame are sent, and how many its length says beyond that.
//   - chunk, piece: the bytes of each chunk, and of each write.
//   - body: text, or rows (many small entries in a complete body).
func newCrowd(t *testing.T, p *process, d *datadriven.TestData) *crowd {
	t.Helper()
	c := &crowd{process: p, count: argument(t, d, "clients"), sources: max(1, argument(t, d, "sources")), piece: argument(t, d, "piece"), reading: true}
	var to, send, body string
	d.ScanArgs(t, "to", &to)
	d.ScanArgs(t, "send", &send)
	d.MaybeScanArgs(t, "body", &body)
	target, ok := map[string]target{
		"job":           {p.callers(), "/q/00000000ffffffff", "application/json", `{"phases":[`, "{}"},
		"heartbeat":     {p.control(), "/-/instances/i-9/heartbeat", "application/json", `{"service":"pool","state":"ready","seq":1,"running":[`, "0"},
		"configuration": {p.control(), "/-/config/replace", "application/json", `{"version":1,"routes":[`, "{}"},
		"command":       {p.operators(), "/cowslip.peer.v1.Batch/Inspect", "application/proto", "", ""},
		"peer-call":     {p.peers(), "/cowslip.peer.v1.Control/Submit", "application/proto", "", ""},
		"operator-call": {p.operators(), "/cowslip.peer.v1.Operator/Apply", "application/proto", "", ""},
		"announcement":  {p.endpoints(), "/v1/endpoints", "application/json", "", ""},
		"peers":         {address: p.peers()},
	}[to]
	if !ok {
		t.Fatalf("%s: unknown target %s", d.Pos, to)
	}
	c.address = target.address
	content := bytes.Repeat([]byte("x"), argument(t, d, "bytes"))
	if body == "rows" {
		content = target.rows(argument(t, d, "bytes"))
	}
	if send == "streams" {
		c.streamURL, c.content = "http://"+target.address+target.path, content
	}
	c.data = target.encode(send, content, argument(t, d, "missing"), argument(t, d, "chunk"))
	c.reading, c.complete = send != "reads", body == "rows" || send == "kept"
	if c.piece == 0 {
		c.piece = max(1, len(c.data))
	}
	t.Cleanup(c.close)
	return c
}

// target is a call that a crowd makes.
type target struct {
	address, path, contentType string
	// prefix begins a body with a list of entries.
	prefix, entry string
}

// rows returns a complete body of about so many bytes with as many entries as it can hold.
func (g target) rows(size int) []byte {
	entries := (size - len(g.prefix)) / (len(g.entry) + 1)
	return []byte(g.prefix + strings.Repeat(g.entry+",", entries-1) + g.entry + "]}")
}

// unreadRequests is how many requests a client sends that reads no answer.
const unreadRequests = 40

// encode returns what one client sends.
func (g target) encode(send string, content []byte, missing, chunk int) []byte {
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: queue.example\r\nContent-Type: %s\r\n", g.path, g.contentType)
	switch send {
	case "length":
		return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", header, len(content)+missing), content...)
	case "chunks":
		data := []byte(header + "Transfer-Encoding: chunked\r\n\r\n")
		for ; len(content) > 0; content = content[min(chunk, len(content)):] {
			part := content[:min(chunk, len(content))]
			data = fmt.Appendf(data, "%x\r\n%s\r\n", len(part), part)
		}
		return data[:len(data)-missing]
	case "frame":
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(content)+missing)), content...)
	case "header":
		return []byte(header)
	case "kept":
		return []byte("GET /-/nothing HTTP/1.1\r\nHost: queue.example\r\n\r\n")
	case "reads":
		return []byte(strings.Repeat("GET /-/config/get HTTP/1.1\r\nHost: queue.example\r\n\r\n", unreadRequests))
	default:
		return nil
	}
}

// settleTimeout bounds the wait for a process to read what a crowd has sent; one at its limits may leave it unread.
const settleTimeout = 5 * time.Second

// connect connects all clients and returns once each has sent what it can, and the process has read or refused it. What a
// client can't send, since the process refuses or closes the connection, isn't sent.
func (c *crowd) connect() {
	if c.streamURL != "" {
		c.connectStreams()
		return
	}
	var sending sync.WaitGroup
	for i := range c.count {
		source := "127.0.0.1"
		if c.sources > 1 {
			source = fmt.Sprintf("127.88.%d.%d", 1+(i%c.sources)/250, 1+(i%c.sources)%250)
		}
		dialer := net.Dialer{Timeout: sendTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		conn, err := dialer.Dial("tcp", c.address)
		if err != nil {
			continue
		}
		c.conns = append(c.conns, conn)
		if !c.reading {
			// A small buffer, so that answers stay in the process.
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
		sending.Go(func() { c.send(conn) })
	}
	sending.Wait()
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline) && c.process.hasUnread(c.reading); {
		time.Sleep(10 * time.Millisecond)
	}
}

// send sends a client's data, and waits for the answer if what it sent was complete.
func (c *crowd) send(conn net.Conn) {
	answered := make(chan struct{})
	if c.reading {
		c.ended.Go(func() {
			_, _ = conn.Read(make([]byte, 1))
			close(answered)
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	for data := c.data; len(data) > 0; data = data[min(c.piece, len(data)):] {
		if _, err := conn.Write(data[:min(c.piece, len(data))]); err != nil {
			return
		}
	}
	if c.complete {
		select {
		case <-answered:
		case <-time.After(sendTimeout):
		}
	}
}

// openBody is a body that doesn't end until its context does.
type openBody struct {
	ctx  context.Context
	rest *bytes.Reader
	// sent is closed when the first Read finds nothing left.
	sent chan struct{}
}

func (b *openBody) Read(p []byte) (int, error) {
	if b.rest.Len() > 0 {
		return b.rest.Read(p)
	}
	close(b.sent)
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// connectStreams begins a request with an open body for each client and returns once each has sent its content or failed.
func (c *crowd) connectStreams() {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	ctx, stop := context.WithCancel(context.Background())
	c.stops = append(c.stops, stop, transport.CloseIdleConnections)
	deadline := time.After(sendTimeout)
	var waits []func()
	for range c.count {
		body := &openBody{ctx: ctx, rest: bytes.NewReader(c.content), sent: make(chan struct{})}
		failed := make(chan struct{})
		c.ended.Go(func() {
			defer close(failed)
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL, body)
			if err != nil {
				return
			}
			r.Header.Set("Content-Type", "application/proto")
			if answer, err := transport.RoundTrip(r); err == nil {
				_ = answer.Body.Close()
			}
		})
		waits = append(waits, func() {
			select {
			case <-body.sent:
			case <-failed:
			case <-deadline:
			}
		})
	}
	for _, wait := range waits {
		wait()
	}
}

// close ends the crowd's connections.
func (c *crowd) close() {
	for _, stop := range c.stops {
		stop()
	}
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.ended.Wait()
}
