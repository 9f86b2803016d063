package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"cowslipstack/internal/base/tests"
)

const (
	// orderAttempts is how often an operator sends a change that gets no clear answer, and orderPause the pause between two attempts.
	orderAttempts = 6
	orderPause    = 300 * time.Millisecond
	// answerPatience is how long an operator or caller waits for an answer.
	answerPatience = time.Second
	// maxRedirects is how often a caller follows a redirect.
	maxRedirects = 2
	// maxIdleConns is the number of connections to a process that are kept open.
	maxIdleConns = 8
	// largePadding is the size of the padding of large configurations in bytes, which are redirected.
	largePadding = 40 << 10
	host         = "h.example"
)

// textOf returns the configuration of an order: a queue that only this order has, and with accounts a key that only this one has.
func (d *day) textOf(o *tests.Order) string {
	pool := "p"
	if o.Invalid {
		pool = "unknown"
	}
	accounts := ""
	if d.kind.Accounts {
		accounts = fmt.Sprintf(`,"tenants":[{"name":"a","apiKeys":["all","key-%s"],"weight":1}]`, o.Name)
	}
	padding := ""
	if d.kind.Large && d.random.IntN(4) == 0 {
		padding = strings.Repeat("x", largePadding)
	}
	route := `{"host":"%s","pathPrefix":"%s","timeoutMs":3000,"targetLatencyMs":3000,"service":"%s","maxAttempts":2,"slackFactor":2}`
	return fmt.Sprintf(`{"version":%d,"note":"%s","routes":[`+route+","+route+`],"services":[{"name":"p","admissionCheck":true}]%s}`,
		o.Version, padding, host, "/q/", "p", host, "/"+o.Name+"/", pool, accounts)
}

// anySlot returns any machine, whether its process runs or not.
func (d *day) anySlot() *processSlot { return d.slots[d.random.IntN(len(d.slots))] }

// answer is what a process answers to a call; a status of 0 means that none came in time.
type answer struct {
	status int
	body   string
}

// running returns the process of a machine, nil if none runs.
func (d *day) running(s *processSlot) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.process
}

// newCaller returns the client of all callers and operators, which follows redirects as the operators do.
func newCaller(m *machine) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: m.DialContext, MaxIdleConnsPerHost: maxIdleConns},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
}

// call makes a call at a port of a process.
func (d *day) call(p *process, port uint16, method, path string, header http.Header, body string) answer {
	if p == nil {
		return answer{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerPatience)
	defer cancel()
	to := netip.AddrPortFrom(p.machine.address, port)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	r.Header = header
	if port == callersPort {
		r.Host = host
	}
	response, err := d.client.Do(r)
	if err != nil {
		return answer{}
	}
	text, err := io.ReadAll(response.Body)
	if closed := response.Body.Close(); err != nil || closed != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, body: string(text)}
}

// control makes a call of an operator at a process.
func (d *day) control(p *process, method, path, body string) answer {
	return d.call(p, controlPort, method, path, http.Header{}, body)
}

// caller makes a call of a caller at a process.
func (d *day) caller(p *process, method, path, key, body string) answer {
	return d.call(p, callersPort, method, path, http.Header{"Authorization": {"Bearer " + key}, "Deadline-Ms": {"3000"}}, body)
}

// drawCalls makes calls at any process.
func (d *day) drawCalls() {
	p := d.running(d.anySlot())
	switch kind := d.random.IntN(7); {
	case kind == 0:
		for _, o := range d.drawOrders() {
			d.sendOrder(o)
		}
	case p == nil:
	case kind <= 2:
		d.background(func() { d.readConfiguration(p) })
	case kind == 3:
		d.drawJobCall(p)
	default:
		if o := d.recentOrder(); o != nil {
			withKey := d.kind.Accounts && d.random.IntN(2) == 0
			d.background(func() { d.askForQueue(p, o, withKey) })
		}
	}
}

// recentOrder returns one of the last orders, nil if there is none.
func (d *day) recentOrder() *tests.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Recent(d.random.IntN)
}

// drawOrders returns changes to send: a new one, two under one version, one that was sent before, a lower one beside a higher one, or an
// invalid one.
func (d *day) drawOrders() []*tests.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.model.Highest() + 1 + uint64(d.random.IntN(3))
	lower := max(1, next-min(next-1, 1+uint64(d.random.IntN(4))))
	add := func(version uint64, invalid bool) *tests.Order { return d.model.Add(version, invalid, d.textOf) }
	switch d.random.IntN(7) {
	case 3:
		return []*tests.Order{add(next, false), add(next, false)}
	case 4:
		if o := d.model.Recent(d.random.IntN); o != nil {
			return []*tests.Order{o}
		}
		return nil
	case 5:
		return []*tests.Order{add(next, false), add(lower, false)}
	case 6:
		return []*tests.Order{add([]uint64{next, lower}[d.random.IntN(2)], true)}
	default:
		return []*tests.Order{add(next, false)}
	}
}

// sendOrder lets an operator send a change until it gets a clear answer, to any process each time.
func (d *day) sendOrder(o *tests.Order) {
	var targets []*processSlot
	var lost []bool
	for range orderAttempts {
		targets, lost = append(targets, d.anySlot()), append(lost, d.random.IntN(4) == 0)
	}
	d.background(func() {
		for i, s := range targets {
			sent, p := time.Now(), d.running(s)
			a := d.control(p, http.MethodPost, "/-/config/replace", o.Text)
			if a.isClear() && !lost[i] {
				d.note(p.name, sent, "change", func() string { return d.model.NoteAnswer(o, a.status == http.StatusOK) })
				d.noteAcknowledged(s, a.status == http.StatusOK)
				return
			}
			time.Sleep(orderPause)
		}
	})
}

// isClear reports whether an answer tells the outcome of a change.
func (a answer) isClear() bool {
	return a.status != 0 && a.status < http.StatusInternalServerError && a.status != http.StatusRequestTimeout &&
		a.status != http.StatusTooManyRequests && a.status != http.StatusTemporaryRedirect
}

func (d *day) readConfiguration(p *process) bool {
	least, sent := d.least(), time.Now()
	a := d.control(p, http.MethodGet, "/-/config/get", "")
	if a.status != http.StatusOK {
		return false
	}
	d.note(p.name, sent, "read", func() string { return d.model.NoteRead(a.body, least) })
	return true
}

// askForQueue asks for the waiting jobs of the queue that one order alone has, or of the common queue with the key that it alone has.
func (d *day) askForQueue(p *process, o *tests.Order, withKey bool) {
	least, sent := d.least(), time.Now()
	path, key, refused := "/"+o.Name+"/", "all", http.StatusNotFound
	if withKey {
		path, key, refused = "/q/", "key-"+o.Name, http.StatusUnauthorized
	}
	a := d.caller(p, http.MethodGet, path, key, "")
	switch a.status {
	case http.StatusOK:
		d.note(p.name, sent, "call", func() string { return d.model.NoteObeyed(o, least) })
	case refused:
		d.note(p.name, sent, "call", func() string { return d.model.NoteNotObeyed(o, least) })
	default:
	}
}

// drawJobCall submits a job to the queue that one order alone has, or asks for one that was accepted.
func (d *day) drawJobCall(p *process) {
	o, id := d.recentOrder(), fmt.Sprintf("%016x", d.random.Uint64())
	accepted := d.anyAccepted()
	switch {
	case accepted != "" && d.random.IntN(2) == 0:
		d.background(func() { d.askForJob(p, accepted) })
	case o != nil:
		d.background(func() { d.submit(p, o, "/"+o.Name+"/"+id) })
	}
}

// anyAccepted returns the path of a job that was accepted, empty if there is none.
func (d *day) anyAccepted() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.accepted) == 0 {
		return ""
	}
	return d.accepted[d.random.IntN(len(d.accepted))]
}

func (d *day) submit(p *process, o *tests.Order, path string) {
	least, sent := d.least(), time.Now()
	a := d.caller(p, http.MethodPost, path, "all", `{"spec":"text","phases":[{"count":1,"cpu":100,"estimateMs":300}]}`)
	switch a.status {
	case http.StatusOK:
		d.note(p.name, sent, "job", func() string {
			d.accepted = append(d.accepted, path)
			return d.model.NoteObeyed(o, least)
		})
	case http.StatusNotFound:
		d.note(p.name, sent, "job", func() string { return d.model.NoteNotObeyed(o, least) })
	default:
	}
}

func (d *day) askForJob(p *process, path string) {
	sent := time.Now()
	if a := d.caller(p, http.MethodGet, path, "all", ""); a.status == http.StatusGone {
		d.note(p.name, sent, "question", func() string { return "doesn't know a job that was accepted before" })
	}
}
