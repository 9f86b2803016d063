package conf

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// HasRole reports whether the process has a role.
func (d Daemon) HasRole(role Role) bool {
	return slices.Contains(d.Roles, role)
}

// ControlPeers returns the peers with the control role, in the order of the settings.
func (d Daemon) ControlPeers() []Peer {
	return d.peersWith(RoleControl)
}

// EntryPeers returns the peers with the entry role, in the order of the settings.
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

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// tlsFileCount is the number of files that TLS needs.
const tlsFileCount = 3

// fileCount returns how many of the TLS files are set.
func (t TLS) fileCount() int {
	count := 0
	for _, file := range []string{t.AuthorityFile, t.CertificateFile, t.KeyFile} {
		if file != "" {
			count++
		}
	}
	return count
}

// isLoopback reports whether an address can be reached only from the same VM.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// checkDaemon checks what the schema can't express: rules across keys.
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
	if fileCount := d.TLS.fileCount(); fileCount != 0 && fileCount != tlsFileCount {
		return fault("tls", "authority_file, certificate_file and key_file go together: give all three or none")
	}
	if d.TLS.fileCount() == 0 && !isLoopback(d.Listen.Operators) {
		return fault("listen.operators", fmt.Sprintf("%q is not a loopback address; that is allowed only with the files of tls", d.Listen.Operators))
	}
	if d.Entry.RenewMs*2 > d.Entry.LeaseMs {
		return fault("entry.renew_ms", fmt.Sprintf("%d was given; at most half of entry.lease_ms (%d) is allowed", d.Entry.RenewMs, d.Entry.LeaseMs))
	}
	return nil
}
