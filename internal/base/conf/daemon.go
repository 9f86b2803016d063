package conf

import (
	"fmt"
	"slices"
	"time"
)

// HasRole says whether the process plays a role.
func (d Daemon) HasRole(role Role) bool {
	return slices.Contains(d.Roles, role)
}

// ControlPeers returns the peers that play the control role, in the order of the settings.
func (d Daemon) ControlPeers() []Peer {
	return d.peersWith(RoleControl)
}

// EntryPeers returns the peers that play the entry role, in the order of the settings.
func (d Daemon) EntryPeers() []Peer {
	return d.peersWith(RoleEntry)
}

func (d Daemon) peersWith(role Role) []Peer {
	var peers []Peer
	for _, p := range d.Peers {
		if slices.Contains(p.Roles, role) {
			peers = append(peers, p)
		}
	}
	return peers
}

// Milliseconds returns a count of milliseconds as a duration.
func Milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// checkDaemon checks what the schema can't: how keys go together.
func checkDaemon(file string, d Daemon) error {
	fault := func(key, problem string) error {
		return &InputError{File: file, Key: key, Problem: problem}
	}
	seen := map[Name]bool{}
	for i, p := range d.Peers {
		if seen[p.Name] {
			return fault(fmt.Sprintf("peers.%d.name", i), fmt.Sprintf("%q is given twice; names must differ", p.Name))
		}
		seen[p.Name] = true
	}
	if !seen[d.Name] {
		return fault("name", fmt.Sprintf("%q is not among the peers; allowed are the names of the peers", d.Name))
	}
	if d.HasRole(RoleControl) && d.Control.DataFolder == "" {
		return fault("control.data_folder", "missing key; the control role needs a folder")
	}
	if len(d.ControlPeers()) == 0 {
		return fault("peers", "no peer has the role control; at least one must")
	}
	if d.Entry.RenewMs*2 > d.Entry.LeaseMs {
		return fault("entry.renew_ms", fmt.Sprintf("%d was given; at most half of entry.lease_ms (%d) is allowed", d.Entry.RenewMs, d.Entry.LeaseMs))
	}
	return nil
}
