package main

import (
	"fmt"
	"time"
)

const (
	// listedMachines is the number of machines: one of them is within the site's share of scale_in.
	listedMachines = 16
	// listedWaves is how often a machine goes, another comes and a wave names that one.
	listedWaves = 3
	// spotNotice and spotPause are the times of scale_in (spot): gone after the one, and others come after the other.
	spotNotice = 2 * time.Second
	spotPause  = 4 * time.Second
	// addedBefore is how long the new machine is there before the wave.
	addedBefore = 200 * time.Millisecond
	// addedApart is by how much the pauses between the waves differ, so that they meet other moments of the system's period.
	addedApart = 350 * time.Millisecond
)

// playUnlistedMachine takes a machine away, as scale_in (spot) does, and starts a wave that names the one that comes for it.
// Without the trouble all machines stay, and the wave names one of them. The rule is MIXED.
func playUnlistedMachine(s *site) error {
	if err := s.configure(); err != nil {
		return err
	}
	machines := map[string]*machine{}
	for i := range listedMachines {
		name := fmt.Sprintf("m-%d", i+1)
		machines[name] = s.platform.add(name, pool)
	}
	time.Sleep(3 * time.Second)
	for wave := 1; wave <= listedWaves; wave++ {
		m := machines[fmt.Sprintf("m-%d", wave)]
		if s.trouble {
			s.platform.takeAway(m.name, spotNotice)
			time.Sleep(spotPause)
			m = s.platform.add(fmt.Sprintf("n-%d", wave), pool)
			time.Sleep(addedBefore)
		}
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
