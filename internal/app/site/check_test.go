package site_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/app/opcli"
)

// checkResult is what a check of a configuration printed.
type checkResult struct {
	code         int
	out, message string
}

// check has a process check a text; it repeats the command while the call fails, as it does while no leader is known.
func (g *group) check(m *member, text string, flags ...string) checkResult {
	g.t.Helper()
	path := filepath.Join(g.t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		var out, failed bytes.Buffer
		args := append([]string{"batch", "check", path, "--address", g.address(m, 4)}, flags...)
		code := opcli.Run(ctx, args, opcli.Terminal{Out: &out, Err: &failed})
		if code != opcli.ExitFailure {
			return checkResult{code: code, out: out.String(), message: failed.String()}
		} else if ctx.Err() != nil {
			g.t.Fatalf("the check fails: %s", failed.String())
		}
	}
}

// TestCheckOverProcesses checks configurations at each process. It guards against a check that changes the active configuration
// or prints a key, and against exit codes other than those that scripts rely on.
func TestCheckOverProcesses(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	diskless := g.members[processCount-1]
	g.call(http.MethodGet, g.address(diskless, 2), "/-/readyz", "", http.StatusOK)
	first, next := accountsConfiguration(1, `"first-key"`), accountsConfiguration(2, `"second-key","third-key"`)
	r := g.check(diskless, first)
	is.Equal(r.code, opcli.ExitOK)
	is.True(strings.Contains(r.out, "no configuration is active"))
	g.call(http.MethodPost, g.address(diskless, 3), "/-/config/replace", first, http.StatusOK)
	g.key = "first-key"
	g.call(http.MethodPost, g.address(diskless, 1), "/q/5c0e7a21d94b36f8", `{"spec":"text","phases":[{"count":1,"cpu":4000}]}`, http.StatusOK)
	printed := ""
	for _, m := range g.members {
		for _, c := range []struct {
			text, want string
			code       int
		}{
			{first, "active already", opcli.ExitOK},
			{next, "keys added: 2, keys removed: 1", opcli.ExitOK},
			{strings.Replace(next, `"weight":2`, `"weight":0`, 1), "its weight is 0", opcli.ExitWarnings},
			{strings.Replace(next, `"weight":2`, `"weight":2,"maxCount":{"cpu":2000}`, 1), "below the 4000", opcli.ExitWarnings},
			{accountsConfiguration(1, `"second-key"`), "not above the active version 1", opcli.ExitWarnings},
			{strings.Replace(next, `"service":"pool"`, `"service":"none"`, 1), "queue queue.example/q/", opcli.ExitUsage},
			{strings.Replace(next, `"weight":2`, "\n \"weight\":x", 1), "line 2, column 11", opcli.ExitUsage},
			{strings.Replace(next, `"third-key"`, "\nthird-key", 1), "line 2, column 2", opcli.ExitUsage},
		} {
			r := g.check(m, c.text)
			if r.code != c.code || !strings.Contains(r.out, c.want) {
				t.Errorf("check %s: code %d, wrote %q and %q", c.text, r.code, r.out, r.message)
			}
			printed += r.out + r.message
		}
		r := g.check(m, strings.Replace(next, `"weight":2`, `"weight":0`, 1), "--json")
		is.Equal(r.code, opcli.ExitWarnings)
		var report struct {
			Warnings string `json:"warnings"`
			Findings []struct {
				Severity string `json:"severity"`
				Subject  string `json:"subject"`
				Name     string `json:"name"`
			} `json:"findings"`
		}
		is.NoErr(json.Unmarshal([]byte(r.out), &report))
		is.Equal(report.Warnings, "1")
		is.Equal(report.Findings[0].Severity+" "+report.Findings[0].Subject+" "+report.Findings[0].Name, "warning account a")
		printed += r.out
		is.Equal(g.call(http.MethodGet, g.address(m, 3), "/-/config/get", "", http.StatusOK), first)
	}
	for _, key := range []string{"first-key", "second-key", "third-key"} {
		is.True(!strings.Contains(printed, key))
	}
	var out, failed bytes.Buffer
	missing := filepath.Join(t.TempDir(), "missing.json")
	is.Equal(opcli.Run(t.Context(), []string{"batch", "check", missing}, opcli.Terminal{Out: &out, Err: &failed}), opcli.ExitUsage)
	path := filepath.Join(t.TempDir(), "configuration.json")
	is.NoErr(os.WriteFile(path, []byte(first), 0o600))
	// Nothing listens at the address of this port: the call fails.
	args := []string{"batch", "check", path, "--address", "127.0.0.250:1", "--timeout", "1s"}
	is.Equal(opcli.Run(t.Context(), args, opcli.Terminal{Out: &out, Err: &failed}), opcli.ExitFailure)
	is.Equal(out.String(), "")
}
