package script_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"cowslipstack/internal/app/daemon"
	"cowslipstack/internal/app/fakes"
	"cowslipstack/internal/app/opcli"
)

// waitTimeout bounds how long a command of a script waits for an event.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cowslipd": program(func(ctx context.Context) int {
			return daemon.RunCommand(ctx, os.Args[1:], daemon.Terminal{Out: os.Stdout, Err: os.Stderr})
		}),
		"cowslipfake": program(func(ctx context.Context) int { return fakes.Run(ctx, os.Args[1:], os.Stderr) }),
		"cowslip": program(func(ctx context.Context) int {
			return opcli.Run(ctx, os.Args[1:], opcli.Terminal{Out: os.Stdout, Err: os.Stderr})
		}),
	})
}

// program returns a main function that exits with the code of run, as the programs under cmd do.
func program(run func(context.Context) int) func() {
	return func() {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		code := run(ctx)
		stop()
		os.Exit(code)
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":        ports,
			"post":         post,
			"fetch":        fetch,
			"await":        await,
			"code":         code,
			"fails":        fails,
			"expand":       expand,
			"certificates": certificates,
			"listening":    listening,
			"send":         send,
			"refused":      refused,
			"begin":        begin,
			"end":          end,
			"until":        until,
			"load":         load,
			"unload":       unload,
		},
	})
}

// ports NAME... sets each variable to a free port that the operating system assigns to no other process for a while.
func ports(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		ts.Setenv(name, strconv.Itoa(listener.Addr().(*net.TCPAddr).Port))
		reserve(ts, listener)
	}
}

// reserve closes a listener so that its port stays reserved: it leaves a connection in TIME_WAIT on that port, so that
// the operating system assigns the port to nobody else. A daemon can still listen on it explicitly.
func reserve(ts *testscript.TestScript, listener net.Listener) {
	caller, err := net.Dial("tcp", listener.Addr().String())
	ts.Check(err)
	accepted, err := listener.Accept()
	ts.Check(err)
	ts.Check(accepted.Close())
	// The read returns once the close of the other side has arrived here.
	_, err = io.ReadAll(caller)
	ts.Check(err)
	ts.Check(caller.Close())
	ts.Check(listener.Close())
}

// expand FILE... replaces ${VARIABLE} in files with the value of the script's environment variable.
func expand(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// fetch URL STATUS sends one GET, writes the headers and body to the file "page", and checks the status.
func fetch(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fetch url status")
	}
	status, page, err := get(args[0])
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("page"), page, 0o600))
	if status != args[1] {
		ts.Fatalf("got status %s, want %s: %s", status, args[1], page)
	}
}

// await URL STATUS repeats a GET until it has the status, and writes that answer to the file "page".
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: await url status")
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, page, err := get(args[0]); err == nil && status == args[1] {
			ts.Check(os.WriteFile(ts.MkAbs("page"), page, 0o600))
			return
		}
	}
	ts.Fatalf("%s did not answer %s", args[0], args[1])
}

// listening ADDRESS waits until something listens on the address.
func listening(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if conn, err := net.Dial("tcp", args[0]); err == nil {
			ts.Check(conn.Close())
			return
		}
	}
	ts.Fatalf("nothing listens on %s", args[0])
}

// code N PROGRAM ARGS... runs a program and checks its exit code.
func code(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: code n program [args...]")
	}
	checkCode(ts, args[0], args[1:])
}

// fails N REGEXP PROGRAM ARGS... repeats a program, whose exit code must be N each time, until its standard error matches.
func fails(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 || args[0] == "0" {
		ts.Fatalf("usage: fails n regexp program [args...]")
	}
	pattern := regexp.MustCompile(args[1])
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		checkCode(ts, args[0], args[2:])
		if pattern.MatchString(ts.ReadFile("stderr")) {
			return
		}
	}
	ts.Fatalf("no error matched %s", args[1])
}

// checkCode runs a program and checks its exit code.
func checkCode(ts *testscript.TestScript, want string, command []string) {
	err := ts.Exec(command[0], command[1:]...)
	got := "0"
	if exit, ok := err.(interface{ ExitCode() int }); ok {
		got = strconv.Itoa(exit.ExitCode())
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if got != want {
		ts.Fatalf("got exit code %s, want %s", got, want)
	}
}

// get sends a GET and returns the status and an answer page: the first value of each header, then the body.
func get(url string) (string, []byte, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, response.Body.Close())
	page := []byte{}
	for name, values := range response.Header {
		page = append(page, name+": "+values[0]+"\n"...)
	}
	return strconv.Itoa(response.StatusCode), append(page, body...), err
}
