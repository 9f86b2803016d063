package script_test

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// post URL STATUS BODY NAME=VALUE... sends a POST with headers, writes the answer's headers and body to the file "page",
// and checks the status. The value "now" is the time in Unix milliseconds at its first use in the script.
func post(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: post url status body [name=value...]")
	}
	status, page := postOnce(ts, args)
	// While there is no leader, such as after a kill, a key can't be claimed and the caller has to retry.
	for end := time.Now().Add(waitTimeout); status == "503" && args[1] != "503" && time.Now().Before(end); {
		status, page = postOnce(ts, args)
	}
	ts.Check(os.WriteFile(ts.MkAbs("page"), []byte(page), 0o600))
	if status != args[1] {
		ts.Fatalf("got status %s, want %s: %s", status, args[1], page)
	}
}

// postOnce sends the request of post once.
func postOnce(ts *testscript.TestScript, args []string) (status, page string) {
	request, err := http.NewRequest(http.MethodPost, args[0], strings.NewReader(args[2]))
	ts.Check(err)
	for _, header := range args[3:] {
		name, value, _ := strings.Cut(header, "=")
		if value == "now" {
			if ts.Getenv("NOW") == "" {
				ts.Setenv("NOW", strconv.FormatInt(time.Now().UnixMilli(), 10))
			}
			value = ts.Getenv("NOW")
		}
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	body, err := io.ReadAll(response.Body)
	ts.Check(err)
	ts.Check(response.Body.Close())
	var header strings.Builder
	ts.Check(response.Header.Write(&header))
	return strconv.Itoa(response.StatusCode), header.String() + string(body)
}
