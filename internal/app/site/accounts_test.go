package site_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// accountsConfiguration returns a configuration with one account, and a queue that needs a key beside a public one.
func accountsConfiguration(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"host":"queue.example","pathPrefix":"/q/","timeoutMs":3000,"service":"pool","maxAttempts":2},`+
		`{"host":"queue.example","pathPrefix":"/open/","timeoutMs":3000,"service":"pool","maxAttempts":2,"public":true}],`+
		`"services":[{"name":"pool","admissionCheck":true}],"tenants":[{"name":"a","apiKeys":[%s],"weight":2}]}`, version, keys)
}

// TestKeysOverProcesses adds and withdraws keys while a process restarts: a key works at each process once it is added, and at
// none after it was withdrawn.
func TestKeysOverProcesses(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	diskless := g.members[processCount-1]
	g.call(http.MethodGet, g.address(diskless, 2), "/-/readyz", "", http.StatusOK)
	g.call(http.MethodPost, g.address(diskless, 3), "/-/config/replace", accountsConfiguration(1, `"k1"`), http.StatusOK)
	job, body := "/q/5c0e7a21d94b36f8", `{"spec":"text","phases":[{"count":1,"cpu":1000}]}`
	for _, m := range g.members {
		g.key = "other"
		g.call(http.MethodPost, g.address(m, 1), job, body, http.StatusUnauthorized)
		g.key = ""
		g.call(http.MethodPost, g.address(m, 1), "/open/00000000000000aa", body, http.StatusOK)
		g.call(http.MethodGet, g.address(m, 1), "/q/", "", http.StatusUnauthorized)
		g.key = "k1"
		g.call(http.MethodPost, g.address(m, 1), job, body, http.StatusOK)
	}
	g.call(http.MethodPost, g.address(diskless, 3), "/-/config/replace", accountsConfiguration(2, `"k2"`), http.StatusOK)
	// Whether the first member leads or follows, the others must go on with the keys in force.
	g.members[0].stop()
	is.NoErr(<-g.members[0].done)
	for _, m := range g.members[1:] {
		g.key = "k2"
		g.call(http.MethodGet, g.address(m, 1), job, "", http.StatusOK)
		g.key = "k1"
		g.call(http.MethodGet, g.address(m, 1), job, "", http.StatusUnauthorized)
		g.call(http.MethodPost, g.address(m, 1), "/q/00000000000000ab", body, http.StatusUnauthorized)
		g.key = "k2"
		g.call(http.MethodGet, g.address(m, 1), "/q/00000000000000ab", "", http.StatusGone)
	}
}
