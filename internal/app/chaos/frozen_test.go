package chaos_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// frozenProcesses is the number of processes of a script; the last one has no disk.
const frozenProcesses = soakDisks + 1

// TestFrozenProcessHoldsSubmission runs the scripts of testdata/frozen (review/9): a job that is cancelled while a process that
// stands still holds its submission doesn't run.
func TestFrozenProcessHoldsSubmission(t *testing.T) {
	files, err := filepath.Glob("testdata/frozen/*")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := newSoak(t, 0, frozenProcesses, 0)
			r := &frozenScript{soak: s, caller: s.startSite(restartConfiguration), submissions: map[string]*heldSubmission{}}
			s.awaitReady(r.caller)
			s.runSteps(file, r.runStep)
			s.checkLogs()
			s.saveLogs()
		})
	}
}

// heldSubmission is a submission that was sent on a connection of its own.
type heldSubmission struct {
	conn    net.Conn
	expires time.Time
}

// frozenScript runs the steps of one script: "freeze" and "thaw" a process, "kill leader"; "submit" sends a job's submission to a
// process and doesn't wait for an answer, "leave" closes its connection, "expire" waits until its deadline has passed, "answer" reads
// its status; "cancel" and "state" make a call until it has a clear answer, which is compared; "await" waits for a line in the log of
// the process that was frozen.
type frozenScript struct {
	soak        *soak
	caller      *siteCaller
	submissions map[string]*heldSubmission
	// before is what the log of the process held that was frozen last.
	before string
}

func (r *frozenScript) runStep(words []string) {
	is := is.New(r.soak.t)
	switch words[0] {
	case "freeze":
		is.NoErr(r.process(words[1]).command.Process.Signal(syscall.SIGSTOP))
		r.before = r.logOf(r.process(words[1]))
	case "thaw":
		is.NoErr(r.process(words[1]).command.Process.Signal(syscall.SIGCONT))
	case "kill":
		r.killLeader()
	case "submit":
		r.submit(words[1], r.process(words[2]), words[3])
	case "leave":
		is.NoErr(r.submissions[words[1]].conn.Close())
	case "expire":
		time.Sleep(time.Until(r.submissions[words[1]].expires))
	case "answer":
		r.expect(words[2], r.readAnswer(words[1]))
	case "cancel":
		r.expect(words[3], r.callUntilClear(http.MethodDelete, words[1], r.process(words[2])))
	case "state":
		r.expect(strings.Join(words[3:], " "), r.callUntilClear(http.MethodGet, words[1], r.process(words[2])))
	case "await":
		r.awaitLine(r.process(words[1]), words[2])
	default:
		r.soak.t.Fatalf("unknown step %q", words)
	}
}

func (r *frozenScript) process(index string) *siteProcess {
	n, err := strconv.Atoi(index)
	is.New(r.soak.t).NoErr(err)
	return r.soak.processes[n]
}

func (r *frozenScript) expect(want, got string) {
	if want != got {
		r.soak.t.Errorf("expected %q, got %q", want, got)
	}
}

// submit sends the submission of a job of one task to a process, with a deadline.
func (r *frozenScript) submit(id string, p *siteProcess, deadline string) {
	is := is.New(r.soak.t)
	limit, err := time.ParseDuration(deadline)
	is.NoErr(err)
	conn, err := net.Dial("tcp", p.callers())
	is.NoErr(err)
	r.soak.t.Cleanup(func() { _ = conn.Close() })
	body := `{"spec":"text","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":300}]}`
	_, err = fmt.Fprintf(conn, "POST /q/%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, queueHost, limit.Milliseconds(), len(body), body)
	is.NoErr(err)
	r.submissions[id] = &heldSubmission{conn: conn, expires: time.Now().Add(limit)}
}

func (r *frozenScript) readAnswer(id string) string {
	is := is.New(r.soak.t)
	conn := r.submissions[id].conn
	is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	return strconv.Itoa(answer.StatusCode)
}

// callUntilClear makes a call on a job until its status is none of those without a clear outcome, and returns it with the job's
// state, if there is one.
func (r *frozenScript) callUntilClear(method, id string, p *siteProcess) string {
	var result string
	r.soak.await(method+" of "+id, func() bool {
		status, text := r.caller.call(method, p.callers(), "/q/"+id, "")
		state, _ := parseState(text) // Only a known job has one.
		result = strings.TrimSpace(fmt.Sprint(status, " ", state))
		return status == http.StatusOK || status == http.StatusGone
	})
	return result
}

func (r *frozenScript) awaitLine(p *siteProcess, event string) {
	r.soak.await(event, func() bool { return strings.Contains(strings.TrimPrefix(r.logOf(p), r.before), strconv.Quote(event)) })
}

func (r *frozenScript) logOf(p *siteProcess) string {
	text, err := os.ReadFile(p.log.Name())
	is.New(r.soak.t).NoErr(err)
	return string(text)
}

// killLeader kills the process that logged last that it took control, and starts it again once another one has.
func (r *frozenScript) killLeader() {
	leader := r.lastLeader()
	r.soak.stop(leader, syscall.SIGKILL)
	r.soak.await("another leader", func() bool { return r.lastLeader() != leader })
	r.soak.start(leader)
}

// lastLeader returns the process whose log has the latest line of taking control; terms rise.
func (r *frozenScript) lastLeader() *siteProcess {
	var leader *siteProcess
	latest := ""
	for _, p := range r.soak.processes {
		for line := range strings.Lines(r.logOf(p)) {
			if strings.Contains(line, `"control_taken"`) && line > latest {
				// The lines begin with level and time.
				latest, leader = line, p
			}
		}
	}
	return leader
}
