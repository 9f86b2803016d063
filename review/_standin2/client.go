package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// pool is the service of the cases, queueHost and queuePath its queue.
	pool      = "inspection"
	queueHost = "pule25.example"
	queuePath = "/puxa400/"
	// timeLimit is how long clients wait.
	timeLimit = 3 * time.Second
)

// call makes one call and returns the status and the body; the status is 0 without an answer.
func (s *site) call(method, address, host, path string, body any, limit time.Duration) (int, []byte) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+address+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.record.log("%s %s at %s: no answer", method, path, address)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answered, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	s.record.log("%s %s at %s: %d %s", method, path, address, response.StatusCode, bytes.TrimSpace(answered[:min(len(answered), 120)]))
	return response.StatusCode, answered
}

// configure sends the first config until it is accepted, and waits until the core has grown to its size.
func (s *site) configure() error {
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-anu6wsj", "host": queueHost, "pathPrefix": queuePath, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 3600, "priority": 0, "service": pool, "maxAttempts": 3, "slackFactor": 1.6,
		}},
		"services": []any{map[string]any{
			"name": pool, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if status, _ := s.call(http.MethodPost, s.control(0), "", "/-/config/replace", config, time.Second); status == http.StatusOK {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return errors.New("the first config wasn't accepted")
}

// step is one step of a submission.
type step map[string]any

// submit hands a submission in at a daemon and sends it again there until it is accepted.
func (s *site) submit(at int, id, spec string, steps ...step) error {
	for range 10 {
		body := map[string]any{"spec": spec, "phases": steps}
		if status, _ := s.call(http.MethodPost, s.callers(at), queueHost, queuePath+id, body, timeLimit); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("the submission %s wasn't accepted", id)
}

// until waits until a condition holds.
func until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// waveState asks for a wave's state; empty if there is none.
func (s *site) waveState(wave int) string {
	status, text := s.call(http.MethodGet, s.control(1), "", fmt.Sprintf("/-/wave-get/%d", wave), nil, time.Second)
	var m struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &m) != nil {
		return ""
	}
	return m.State
}

// startWave starts a wave at a daemon and returns the status of the answer.
func (s *site) startWave(at, wave, most int, seconds float64, machines ...string) int {
	status, _ := s.call(http.MethodPost, s.control(at), "", "/-/wave-start",
		map[string]any{"wave": wave, "machines": machines, "durationS": seconds, "maxCount": most}, time.Second)
	return status
}
