package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// operatorTimeout is how long the operator waits for a response.
	operatorTimeout = time.Second
	// clientDeadline is how long a client waits for a response, as it says in Deadline-Ms.
	clientDeadline = 3 * time.Second
)

// route is a queue of the config.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	SlackFactor     float64 `json:"slackFactor"`
}

// service is a pool of the config.
type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConns       int    `json:"maxConns"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
	AdmissionCheck bool   `json:"admissionCheck"`
	Standby        bool   `json:"standby"`
}

// config is a config of the operator.
type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const (
	queueHost   = "pule25.example"
	queuePrefix = "/puxa400/"
	poolName    = "huvo11a"
)

// newRoute returns a queue that is served by a pool.
func newRoute(name, prefix, pool string) route {
	return route{
		Name: name, Host: queueHost, PathPrefix: prefix, Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 60000,
		Service: pool, MaxAttempts: 3, SlackFactor: 4,
	}
}

// newConfig returns a config with the pool of the case and some queues.
func newConfig(version int, routes ...route) config {
	return config{
		Version: version, Routes: routes,
		Services: []service{{Name: poolName, HealthPath: "/healthz", MaxConns: 64, Protocol: "h1", AdmissionCheck: true}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// order sends an order of the operator to one daemon after the other until it is acknowledged.
func (s *scene) order(path string, message any, limit time.Duration) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: operatorTimeout}
	last := ""
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		d := s.daemons[i%len(s.daemons)]
		response, err := client.Post("http://"+d.address(portControl)+path, "application/json", bytes.NewReader(text))
		if err != nil {
			last = err.Error()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		last = fmt.Sprint(response.StatusCode, " ", string(body))
		s.note("operator: %s to %s -> %s", path, d.name, last)
		switch {
		case response.StatusCode == http.StatusOK:
			return nil
		case response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429:
			return errors.New(last)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not acknowledged: %s", path, last)
}

// phase is one step of a submission.
type phase struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMb         int    `json:"memMb,omitempty"`
	EstimateMs    int    `json:"estimateMs,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	AllowMiss     int    `json:"allowMiss,omitempty"`
}

// submission is what a client hands in; its spec says how long a work item runs, in milliseconds.
type submission struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}

// submit hands a submission in once and returns the status, 0 for no response.
func (s *scene) submit(d *daemon, prefix, id string, job submission) int {
	status, _ := s.clientCall(d, http.MethodPost, prefix+id, job)
	return status
}

// clientCall makes one call of a client and returns the status, 0 for no response, and the body.
func (s *scene) clientCall(d *daemon, method, path string, message any) (int, string) {
	var body io.Reader
	if message != nil {
		text, err := json.Marshal(message)
		if err != nil {
			return 0, err.Error()
		}
		body = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.address(portCallers)+path, body)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := clients.Do(request)
	if err != nil {
		s.note("client: %s %s at %s -> no response: %v", method, path, d.name, err)
		return 0, ""
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		s.note("client: %s %s at %s -> broken off: %v", method, path, d.name, err)
		return 0, ""
	}
	s.note("client: %s %s at %s -> %d %s", method, path, d.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// clients is the HTTP client of all clients.
var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}

// submitUntilAccepted hands a submission in, again with the same ID where the answer calls for it.
func (s *scene) submitUntilAccepted(prefix, id string, job submission, limit time.Duration) bool {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		status := s.submit(s.daemons[i%len(s.daemons)], prefix, id, job)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// state returns the state of a submission as one daemon shows it, empty for none.
func (s *scene) state(d *daemon, prefix, id string) string {
	status, body := s.clientCall(d, http.MethodGet, prefix+id, nil)
	var m struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &m) != nil {
		return ""
	}
	return m.State
}
