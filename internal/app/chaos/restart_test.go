package chaos_test

import (
	"bufio"
	"fmt"
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

// restartProcesses is the number of processes of a script, all with a disk.
const restartProcesses = 3

// TestRestartedWorkerObeysOrderOfFormerLife runs the scripts of testdata/restarts: no task runs twice, and each job completes.
func TestRestartedWorkerObeysOrderOfFormerLife(t *testing.T) {
	files, err := filepath.Glob("testdata/restarts/*")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := newSoak(t, 0, restartProcesses, 0)
			r := &restartScript{soak: s, caller: s.startSite(restartConfiguration), jobs: map[string]*observedJob{}}
			s.awaitReady(r.caller)
			s.runSteps(file, r.runStep)
			r.checkResult()
		})
	}
}

// restartConfiguration has one queue and its pool; without a spare pool, no worker is moved.
var restartConfiguration = fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"pathPrefix":"/q/","timeoutMs":3000,`+
	`"targetLatencyMs":3000,"service":"pool","maxAttempts":%d,"slackFactor":2}],"services":[{"name":"pool","admissionCheck":true}]}`,
	queueHost, maxTaskFailures)

// restartScript runs the steps of one script: "worker" adds a worker, "restart" plans its restart (see parseRestart), "submit"
// submits a job of one task, "kill leader" kills the leader, and "await" waits until a job is completed or a worker is cut off.
type restartScript struct {
	soak   *soak
	caller *siteCaller
	// jobs are the submitted jobs by their names in the script.
	jobs map[string]*observedJob
}

// runSteps runs the steps of a file, one a line; a line whose first word is "#" is a comment.
func (s *soak) runSteps(file string, runStep func(words []string)) {
	is := is.New(s.t)
	f, err := os.Open(file)
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		s.t.Logf("%s %s", time.Now().Format("15:04:05.000"), lines.Text())
		runStep(words)
	}
}

func (r *restartScript) runStep(words []string) {
	arguments := map[string]string{}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		arguments[name] = value
	}
	switch words[0] {
	case "submit":
		r.submit(words[1])
	case "worker":
		duration, err := time.ParseDuration(arguments["takes"])
		is.New(r.soak.t).NoErr(err)
		r.soak.provider.addWorker(words[1], duration)
	case "restart":
		r.soak.provider.armRestart(words[1], r.parseRestart(arguments))
	case "kill":
		r.killLeader()
	case "await":
		r.await(words[1:])
	default:
		r.soak.t.Fatalf("unknown step %q", words)
	}
}

// parseRestart reads a restart: crash=reply or crash=start, deliver=end or the number of leases, and the number of leases until
// the cut, in which the last of them is lost if last=lost.
func (r *restartScript) parseRestart(arguments map[string]string) *restart {
	is := is.New(r.soak.t)
	plan := &restart{onStart: arguments["crash"] == "start", deliverAtEnd: arguments["deliver"] == "end", cut: waitTimeout, loseLast: arguments["last"] == "lost"}
	var err error
	if !plan.deliverAtEnd {
		plan.deliverAfter, err = strconv.Atoi(arguments["deliver"])
		is.NoErr(err)
	}
	if leases, ok := arguments["cut"]; ok {
		plan.cutAfter, err = strconv.Atoi(leases)
		is.NoErr(err)
	}
	return plan
}

// submit submits a job of one task until it is accepted.
func (r *restartScript) submit(name string) {
	s := r.soak
	id := fmt.Sprintf("%016x", len(r.jobs)+1)
	job := &observedJob{id: id, spec: "text of " + id, steps: []int{1}, tasks: map[string]*observedTask{}}
	r.jobs[name] = job
	s.checker.withLock(func() { s.checker.jobs[id] = job })
	s.await("acceptance of "+name, func() bool {
		r.caller.submit(job)
		return r.caller.accepted(job)
	})
}

// await waits until a job is reported as completed, or until a worker is cut off.
func (r *restartScript) await(words []string) {
	s := r.soak
	s.await(strings.Join(words, " "), func() (holds bool) {
		switch words[0] {
		case "completed":
			return r.completed(r.jobs[words[1]])
		case "cut":
			s.checker.withLock(func() { holds = s.checker.counts["worker_cuts"] > 0 })
		default:
			s.t.Fatalf("unknown condition %q", words)
		}
		return holds
	})
}

// completed asks for the state of a job, checks it and reports whether the job is completed.
func (r *restartScript) completed(job *observedJob) (completed bool) {
	c := r.soak.checker
	status, text := r.caller.call(http.MethodGet, r.soak.nextProcess().callers(), "/q/"+job.id, "")
	state, err := parseState(text)
	if err != nil {
		return false
	}
	c.jobState(job, status, state)
	c.withLock(func() { completed = job.finalState == "completed" })
	return completed
}

// killLeader kills the leader that the workers call, and starts its process again.
func (r *restartScript) killLeader() {
	address := r.soak.leaderAddress.Load()
	for _, p := range r.soak.processes {
		if address != nil && p.control() == *address {
			r.soak.stop(p, syscall.SIGKILL)
			r.soak.start(p)
			return
		}
	}
	r.soak.t.Fatal("no worker knows the leader")
}

// checkResult reports all violations, and fails if no reply to a former life was obeyed.
func (r *restartScript) checkResult() {
	s := r.soak
	s.checker.withLock(func() {
		s.t.Logf("%v", s.checker.counts)
		for _, violation := range s.checker.violations {
			s.t.Error(violation)
		}
		if s.checker.counts["stale_obeyed"] == 0 {
			s.t.Error("no reply to a former life was obeyed")
		}
	})
	s.checkLogs()
	s.saveLogs()
}
