package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machine is one machine of the platform.
type machine struct {
	name, pool, state string
	server            *server
	// fence is the highest fence number of an order; upkept are the waves for which it had its upkeep.
	fence  uint64
	upkept map[uint64]bool
}

// platform stands in for the provider of machines.
type platform struct {
	site    *site
	address string
	http    *http.Server

	mu       sync.Mutex
	machines map[string]*machine
	// unanswered makes the platform carry out calls without an answer until then: it resets the channel.
	unanswered time.Time
	// onUpkeep is called, without the lock, before the server of a machine ends for its upkeep.
	onUpkeep func(m *machine)
	upkeeps  int
	// foreign is an entry of another writer in the list, nil for none.
	foreign map[string]any
}

func newPlatform(s *site) (*platform, error) {
	listener, err := net.Listen("tcp", s.network+".100:0")
	if err != nil {
		return nil, err
	}
	p := &platform{site: s, address: listener.Addr().String(), machines: map[string]*machine{}, onUpkeep: func(*machine) {}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", p.list)
	mux.HandleFunc("POST /-/machine-move", p.move)
	mux.HandleFunc("POST /-/machine-upkeep", p.upkeep)
	p.http = &http.Server{Handler: mux}
	go func() { _ = p.http.Serve(listener) }()
	return p, nil
}

func (p *platform) close() {
	_ = p.http.Close()
}

// add adds a machine to a pool and starts a server on it.
func (p *platform) add(name, pool string) *machine {
	m := &machine{name: name, pool: pool, state: "up", upkept: map[uint64]bool{}}
	m.server = p.site.servers.start(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[name] = m
	return m
}

// takeAway takes a machine away: its server drains until it is gone after some time, and tells so.
func (p *platform) takeAway(name string, after time.Duration) {
	p.mu.Lock()
	v := p.machines[name].server
	p.mu.Unlock()
	p.site.record.log("platform: %s will be gone after %v, server %s drains", name, after, v.id)
	v.notice(after)
	time.Sleep(after)
	p.mu.Lock()
	delete(p.machines, name)
	p.mu.Unlock()
	p.site.call(http.MethodPost, p.site.control(0), "", "/-/instances/"+v.id+"/deregister", map[string]any{"born": v.born}, time.Second)
	v.kill("gone")
	p.site.record.log("platform: %s is gone", name)
}

// reset ends the channel without an answer, if calls are to get none now, and reports whether it did.
func (p *platform) reset(w http.ResponseWriter) bool {
	p.mu.Lock()
	silent := time.Now().Before(p.unanswered)
	p.mu.Unlock()
	if !silent {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	return true
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	if p.reset(w) {
		return
	}
	p.mu.Lock()
	rows := []map[string]any{}
	if p.foreign != nil {
		rows = append(rows, p.foreign)
	}
	for _, m := range p.machines {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "dc-1", "labels": serverLabels,
			"capacity": serverCapacity,
		}
		if m.server != nil {
			row["id"] = m.server.id
		}
		rows = append(rows, row)
	}
	p.mu.Unlock()
	slices.SortStableFunc(rows, func(a, b map[string]any) int {
		if a["machine"].(string) < b["machine"].(string) {
			return -1
		}
		return 1
	})
	answer(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": ""})
}

// order is the body of an order for a machine.
type order struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    uint64 `json:"wave"`
}

// admit reads an order and checks its fence number; nil if it was answered already.
func (p *platform) admit(w http.ResponseWriter, r *http.Request) (*machine, order) {
	var o order
	fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&o) != nil || err != nil || p.machines[o.Machine] == nil {
		answer(w, http.StatusBadRequest, nil)
		return nil, o
	}
	m := p.machines[o.Machine]
	if fence < m.fence {
		answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return nil, o
	}
	m.fence = fence
	return m, o
}

// move refuses a move: there is no other pool.
func (p *platform) move(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusBadRequest, nil)
}

func (p *platform) upkeep(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	m, o := p.admit(w, r)
	if m == nil {
		p.mu.Unlock()
		return
	}
	begins := !m.upkept[o.Wave] && m.state == "up"
	busy := !m.upkept[o.Wave] && m.state != "up"
	var former *server
	if begins {
		m.upkept[o.Wave], m.state, former = true, "upkeep", m.server
		m.server = nil
		p.upkeeps++
	}
	p.mu.Unlock()
	if begins {
		p.site.record.log("platform: upkeep of %s for wave %d begins, ordered by %s", m.name, o.Wave, r.Header.Get("Lease-Holder"))
		p.onUpkeep(m)
		former.kill("upkeep")
		time.AfterFunc(maintenance, func() { p.finish(m) })
	}
	switch {
	case p.reset(w):
		p.site.record.log("platform: no answer to the order for %s", m.name)
	case busy:
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
	default:
		answer(w, http.StatusOK, nil)
	}
}

// finish brings a machine back with a new server.
func (p *platform) finish(m *machine) {
	started := p.site.servers.start(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	m.state, m.server = "up", started
}

// answer writes an answer with a JSON body.
func answer(w http.ResponseWriter, status int, body map[string]any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_, _ = w.Write(text)
	}
}
