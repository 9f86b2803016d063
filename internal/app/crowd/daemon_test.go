package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// startDaemon starts a process without --site, with both roles and no peers, and waits until it serves.
func startDaemon(t *testing.T, files int) *process {
	t.Helper()
	is := is.New(t)
	p := newProcess(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.toml")
	text := fmt.Sprintf("name = \"p0\"\ndata_centre = \"dc\"\nroles = [\"entry\", \"control\"]\n[listen]\ncallers = %q\nendpoints = %q\npeers = %q\n"+
		"operators = %q\n[control]\ndata_folder = %q\n[[peers]]\nname = \"p0\"\ndata_centre = \"dc\"\naddress = %q\nroles = [\"entry\", \"control\"]\n",
		p.callers(), p.endpoints(), p.peers(), p.operators(), filepath.Join(folder, "data"), p.peers())
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	p.run(folder, files, "--settings", path)
	is.Equal(p.daemonRequests(), servedDaemonRequests)
	t.Logf("at the start %s", p.figures())
	return p
}

// endpoints is the address for endpoints' announcements, which a process with --site doesn't have.
func (p *process) endpoints() string { return p.address(2) }

const servedDaemonRequests = "readiness served\nannouncement served\nrequest served\nstatus served\n"

// daemonRequests makes one ordinary request of each kind until it is served, and returns what came of each. The request of a
// caller is answered 404, since there is no service.
func (p *process) daemonRequests() string {
	out := ""
	for _, k := range []struct {
		name, method, address, path, body string
		status                            int
	}{
		{"readiness", http.MethodGet, p.operators(), "/readyz", "", http.StatusOK},
		{"announcement", http.MethodPost, p.endpoints(), "/v1/endpoints", `{"service":"s","endpoint":"e","address":"10.9.9.9:1","vm":"v",` +
			`"slots":1,"data_centre":"dc","sequence":%d}`, http.StatusOK},
		{"request", http.MethodPost, p.callers(), "/nothing/here", "text", http.StatusNotFound},
		{"status", http.MethodPost, p.operators(), "/cowslip.peer.v1.Operator/Status", "{}", http.StatusOK},
	} {
		if !p.repeat(func(ctx context.Context) bool {
			body := k.body
			if k.name == "announcement" {
				p.sequence++
				body = fmt.Sprintf(body, p.sequence)
			}
			return p.call(ctx, k.method, k.address, k.path, body) == k.status
		}) {
			return out + k.name + " not served\n"
		}
		out += k.name + " served\n"
	}
	return out
}
