package main

import (
	"fmt"
	"time"
)

const (
	// addedWaves is how often a machine is added right before a wave that names it.
	addedWaves = 3
	// addedBefore is how long before the wave the machine is there, with the trouble and without.
	addedBefore     = 200 * time.Millisecond
	addedLongBefore = 3 * time.Second
	// addedApart is by how much the pauses between the waves differ, so that they meet other moments of the system's period.
	addedApart = 350 * time.Millisecond
)

// playUnlistedMachine adds a machine and then starts a wave that names it. The rule is MIXED.
func playUnlistedMachine(s *site) error {
	if err := s.configure(); err != nil {
		return err
	}
	for i := range 3 {
		s.platform.add(fmt.Sprintf("m-%d", i+1), pool)
	}
	time.Sleep(3 * time.Second)
	before := addedLongBefore
	if s.trouble {
		before = addedBefore
	}
	for wave := 1; wave <= addedWaves; wave++ {
		m := s.platform.add(fmt.Sprintf("n-%d", wave), pool)
		time.Sleep(before)
		if s.startWave(1, wave, 1, 20, m.name) != 200 {
			return fmt.Errorf("the wave wasn't acknowledged")
		}
		completed := until(15*time.Second, func() bool { return s.waveState(wave) == "completed" })
		s.platform.mu.Lock()
		upkept := m.upkept[uint64(wave)]
		s.platform.mu.Unlock()
		s.record.log("wave %d: completed %v, upkeep of %s begun %v", wave, completed, m.name, upkept)
		if completed && !upkept {
			return fmt.Errorf("%w: MIXED: wave %d is said to be completed, and %s, which stays, hasn't begun its upkeep", errBroken, wave, m.name)
		}
		time.Sleep(maintenance + time.Second + time.Duration(wave)*addedApart)
	}
	return nil
}
