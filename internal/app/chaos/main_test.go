package chaos_test

import (
	"bufio"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/app/daemon"
)

// daemonEnv is the environment variable that makes the test binary run as a daemon with the settings file it names.
const daemonEnv = "COWSLIP_CHAOS_DAEMON"

// siteEnv makes the test binary run as a daemon that finds the others through seeds, with the settings file it names.
const siteEnv = "COWSLIP_CHAOS_SITE"

func TestMain(m *testing.M) {
	for variable, flag := range map[string]string{daemonEnv: "--settings", siteEnv: "--site"} {
		if settings := os.Getenv(variable); settings != "" {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			code := daemon.RunCommand(ctx, []string{flag, settings}, daemon.Terminal{Out: os.Stdout, Err: os.Stderr})
			stop()
			os.Exit(code)
		}
	}
	os.Exit(m.Run())
}

// schedule is the content of one testdata/*.txt file: a seed, sizes, and the faults to inject in this order.
type schedule struct {
	seed      uint64
	daemons   int
	endpoints int
	callers   int
	requests  int
	steps     []step
}

// step is one fault. The victim "leader" is the leader at that time; any other word is a random daemon.
type step struct {
	fault  string
	victim string
}

// TestSchedules runs each schedule and checks that no request runs twice and that each outcome that a caller gets is true.
func TestSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			newRun(t, parseSchedule(t, file)).execute()
		})
	}
}

// parseSchedule reads a schedule; a line whose first word is "#" is a comment.
func parseSchedule(t *testing.T, file string) schedule {
	t.Helper()
	is := is.New(t)
	f, err := os.Open(file)
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	var s schedule
	for lines := bufio.NewScanner(f); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if words[0] == "do" {
			s.steps = append(s.steps, step{fault: words[1], victim: words[2]})
			continue
		}
		n, err := strconv.Atoi(words[1])
		is.NoErr(err)
		switch words[0] {
		case "seed":
			s.seed = uint64(n)
		case "daemons":
			s.daemons = n
		case "endpoints":
			s.endpoints = n
		case "callers":
			s.callers = n
		case "requests":
			s.requests = n
		default:
			t.Fatalf("%s: unknown keyword %q", file, words[0])
		}
	}
	return s
}
