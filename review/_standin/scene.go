package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// scene is one run of a case: its processes, its record and what it found.
type scene struct {
	trouble bool
	folder  string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	broken  int
	daemons []*daemon
	ended   chan struct{}
	gangs   gangs
	closing sync.Once
}

// newScene opens the record and makes a temporary folder.
func newScene(record string, trouble bool) (*scene, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: trouble, folder: folder, began: time.Now(), record: file, ended: make(chan struct{})}
	s.note("trouble: %t", trouble)
	return s, nil
}

// close ends all processes and removes their files; only the first call does.
func (s *scene) close() {
	s.closing.Do(s.closeOnce)
}

func (s *scene) closeOnce() {
	close(s.ended)
	for _, d := range s.daemons {
		d.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept", filepath.Clean(s.folder))
	}
	_ = s.record.Close()
}

// note writes a line to the record, with the time since the start.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes a broken rule.
func (s *scene) breaks(format string, args ...any) {
	s.note("BROKEN "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken++
}

// brokenRules returns how often a rule was broken.
func (s *scene) brokenRules() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// over reports whether the scene has ended.
func (s *scene) over() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// waitFor waits until a condition holds, and reports whether it did in time.
func (s *scene) waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
