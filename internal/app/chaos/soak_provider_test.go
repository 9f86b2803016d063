package chaos_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// siteVM is one VM of the simulated provider; holder, token and orderedAt are of the last order for it.
type siteVM struct {
	pool   string
	worker *siteWorker
	stop   chan struct{}
	// former is the worker that has crashed and is to come back under its identity, unless another starts before.
	former    *siteWorker
	holder    string
	token     uint64
	orderedAt time.Time
}

// provider is a stand-in for the provider of VMs. It also runs a simulated worker on each VM outside the spare pool.
type provider struct {
	soak    *soak
	server  *httptest.Server
	workers sync.WaitGroup

	mu          sync.Mutex
	vms         map[string]*siteVM
	unavailable bool
	closed      bool
}

// The provider takes moveDuration to start a worker on a VM that was moved or crashed. Orders of two holders for one VM
// must be holderInterval apart.
const (
	moveDuration   = 300 * time.Millisecond
	holderInterval = 1500 * time.Millisecond
)

func newProvider(s *soak, vms int) *provider {
	p := &provider{soak: s, vms: map[string]*siteVM{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", p.list)
	mux.HandleFunc("POST /-/machine-move", p.move)
	p.server = httptest.NewServer(mux)
	for i := range vms {
		p.vms[fmt.Sprintf("m-%02d", i)] = &siteVM{pool: "pool"}
	}
	return p
}

// startWorkers starts a worker on each VM.
func (p *provider) startWorkers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.vms {
		p.startWorker(name)
	}
}

// startWorker starts the next worker incarnation on a VM, none in the spare pool; the caller holds the lock.
func (p *provider) startWorker(name string) {
	v := p.vms[name]
	if v.pool == "spare" || p.closed {
		return
	}
	p.runWorker(v, p.soak.newSiteWorker(name, v.pool))
}

// runWorker runs a worker on a VM; the caller holds the lock.
func (p *provider) runWorker(v *siteVM, w *siteWorker) {
	stop := make(chan struct{})
	v.worker, v.stop, v.former = w, stop, nil
	p.workers.Go(func() { w.run(stop) })
}

// stopWorker stops the worker on a VM at once; the caller holds the lock.
func (p *provider) stopWorker(name string) {
	if v := p.vms[name]; v.worker != nil {
		close(v.stop)
		v.worker = nil
	}
}

// crashWorker stops the worker on a VM at once, and starts the next incarnation after moveDuration.
func (p *provider) crashWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopWorker(name)
	time.AfterFunc(moveDuration, func() { p.restartWorker(name) })
}

// restartWorker starts a worker on a VM that has none.
func (p *provider) restartWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms[name].worker == nil {
		p.startWorker(name)
	}
}

func (p *provider) close() {
	p.mu.Lock()
	p.closed = true
	for name := range p.vms {
		p.stopWorker(name)
	}
	p.mu.Unlock()
	p.workers.Wait()
	p.server.Close()
}

func (p *provider) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rows := []map[string]any{}
	for name, v := range p.vms {
		row := map[string]any{
			"machine": name, "pool": v.pool, "state": "up", "labels": []string{"a", "r1"}, "capacity": map[string]int{"cpu": workerMilliCores, "memMb": 4000},
		}
		if v.worker != nil {
			row["id"] = v.worker.id
		} else if v.pool != "spare" {
			row["state"] = "moving"
		}
		rows = append(rows, row)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows})
}

// move moves a VM to a pool at once. It refuses an outdated fencing token, and checks that one token has one holder and
// that orders of different holders are holderInterval apart.
func (p *provider) move(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.vms[m.Machine]
	holder := r.Header.Get("Lease-Holder")
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	switch {
	case p.unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case v == nil || err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case token < v.token:
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"fence"}`))
		return
	}
	p.soak.checker.withLock(func() {
		p.soak.checker.counts["moved"]++
		if token == v.token && holder != v.holder {
			p.soak.checker.addViolation("holder: %s orders %s with the token %d of %s", holder, m.Machine, token, v.holder)
		}
		if v.holder != "" && holder != v.holder && time.Since(v.orderedAt) < holderInterval {
			p.soak.checker.addViolation("holder: %s orders %s %v after %s did", holder, m.Machine, time.Since(v.orderedAt), v.holder)
		}
	})
	v.holder, v.token, v.orderedAt = holder, token, time.Now()
	if v.pool == m.Pool {
		return
	}
	p.stopWorker(m.Machine)
	v.pool, v.former = m.Pool, nil
	name := m.Machine
	time.AfterFunc(moveDuration, func() { p.restartWorker(name) })
}

// runningVMs returns the names of the VMs on which a worker runs.
func (p *provider) runningVMs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, v := range p.vms {
		if v.worker != nil {
			names = append(names, name)
		}
	}
	return names
}

func (p *provider) setUnavailable(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = away
}
