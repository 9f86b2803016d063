package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// upkeepTime is how long an upkeep takes; maintenanceS is 2.
const upkeepTime = 2 * time.Second

// machine is a worker machine of the platform.
type machine struct {
	name   string
	pool   string
	state  string
	rack   string
	kind   string
	cpu    int
	memMb  int
	runner *runner
	// wave is the last wave that the machine had its upkeep for, and fence the highest fence number of an order for it.
	wave  int
	fence int
}

// cloud stands in for the platform's list of machines and its orders.
type cloud struct {
	scene    *scene
	listener net.Listener
	// loseAnswer says whether the answer to an order that was carried out is lost: its channel is reset.
	loseAnswer func(m *machine) bool
	// begun is called when an upkeep begins, before its runner ends.
	begun func(m *machine)
	// replace starts the next life of a machine's runner.
	replace func(m *machine) *runner

	mu       sync.Mutex
	machines []*machine
	// withoutID is the machine whose row has no id in the next reading of the list, nil for none.
	withoutID *machine
}

func (s *scene) startCloud() (*cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{scene: s, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.list)
	mux.HandleFunc("POST /-/machine-move", c.move)
	mux.HandleFunc("POST /-/machine-upkeep", c.upkeep)
	go func() { _ = http.Serve(listener, mux) }()
	return c, nil
}

func (c *cloud) address() string {
	return c.listener.Addr().String()
}

// add adds a machine that is up with a runner.
func (c *cloud) add(name string, r *runner) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{name: name, pool: r.pool, state: "up", kind: r.labels[0], rack: r.labels[1], cpu: r.cpu, memMb: r.memMb, runner: r}
	c.machines = append(c.machines, m)
	return m
}

// set sets a machine's state and runner; nil for none.
func (c *cloud) set(m *machine, state string, r *runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.state, m.runner = state, r
	if r != nil {
		m.kind, m.rack = r.labels[0], r.labels[1]
	}
}

// loseID leaves the id out of a machine's row once.
func (c *cloud) loseID(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withoutID = m
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	rows := []map[string]any{}
	for _, m := range c.machines {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "kwinana", "labels": []string{m.kind, m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memMb, "gpu": 0},
		}
		switch {
		case m == c.withoutID:
			c.scene.note("TROUBLE: the row of %s in the list has no id", m.name)
			c.withoutID = nil
		case m.runner != nil:
			row["id"] = m.runner.id
		}
		rows = append(rows, row)
	}
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows})
}

// move refuses: no case has a second pool to move to.
func (c *cloud) move(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusBadRequest)
}

// upkeep begins the upkeep of a machine: what runs there ends at once, and a new runner comes after upkeepTime.
func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	var found *machine
	for _, m := range c.machines {
		if m.name == order.Machine {
			found = m
		}
	}
	fence := atoi(r.Header.Get("Fence-Token"))
	refuse := func(reason string) {
		c.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason})
	}
	switch {
	case found == nil:
		c.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	case fence < found.fence:
		refuse("fence")
		return
	case found.wave == order.Wave:
		c.mu.Unlock()
		c.scene.note("platform: upkeep of %s for wave %d was ordered before", found.name, order.Wave)
		return
	case found.state != "up":
		refuse("busy")
		return
	}
	c.begun(found)
	former := found.runner
	found.wave, found.fence, found.state, found.runner = order.Wave, fence, "upkeep", nil
	c.mu.Unlock()
	former.crash()
	time.AfterFunc(upkeepTime, func() { c.set(found, "up", c.replace(found)) })
	if c.loseAnswer(found) {
		c.scene.note("platform: the answer to the upkeep of %s is lost", found.name)
		panic(http.ErrAbortHandler)
	}
}
