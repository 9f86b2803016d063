package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// wavesAtOnce is how many waves are ordered at once; up to eight orders may be in progress.
	wavesAtOnce = 4
	// loadCallers is how many clients submit meanwhile, and loadPause the time between two submissions of one.
	loadCallers = 8
	loadPause   = 5 * time.Millisecond
	loadTime    = 3 * time.Second
)

// playTwoWaves has an operator start waves at once while clients submit. All are acknowledged; each has to be known from
// then on.
func playTwoWaves(s *site) error {
	if err := s.configure(); err != nil {
		return err
	}
	var names []string
	for i := range 8 {
		names = append(names, fmt.Sprintf("m-%d", i+1))
		s.platform.add(names[i], pool)
	}
	time.Sleep(3 * time.Second)
	var load sync.WaitGroup
	loadEnd := time.Now().Add(loadTime)
	for caller := range loadCallers {
		load.Go(func() {
			for i := 0; time.Now().Before(loadEnd); i++ {
				id := fmt.Sprintf("000000000e%02d%04d", caller, i)
				body := map[string]any{"spec": "100", "phases": []step{{"count": 1, "cpu": 100, "memMb": 64, "estimateMs": 100}}}
				s.call(http.MethodPost, s.callers(3+caller%2), queueHost, queuePath+id, body, timeLimit)
				time.Sleep(loadPause)
			}
		})
	}
	time.Sleep(loadTime / 2)
	statuses := make([]int, wavesAtOnce)
	var all sync.WaitGroup
	for i := range wavesAtOnce {
		order := func() { statuses[i] = s.startWave(i%diskCount, i+1, 1, 40, names[i]) }
		if s.trouble {
			all.Go(order)
		} else {
			order()
		}
	}
	all.Wait()
	load.Wait()
	time.Sleep(8 * time.Second)
	lost := 0
	for i, status := range statuses {
		if s.waveState(i+1) == "" && status == http.StatusOK {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d acknowledged waves aren't known, and their machines get no upkeep", errBroken, lost, wavesAtOnce)
	}
	return nil
}
