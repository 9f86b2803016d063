package sched

import (
	"fmt"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// tickets are the permits of advised queues.
type tickets struct {
	held map[permitKey]permit
	// asked are the steps that a question is under way for.
	asked map[gangKey]bool
	// refused are workers that may not run a step.
	refused map[permitKey]bool
}

// permitKey names a worker's life and a step.
type permitKey struct {
	step        gangKey
	worker      string
	incarnation int64
}

type permit struct {
	ticket  string
	validMs int64
}

const (
	// askedAtOnce bounds the workers of one question for advice: the answer takes longer for each.
	askedAtOnce = 8
	// permitMarginMs is kept free at the end of a permit's time.
	permitMarginMs = 400
	// permitsKept bounds the permits that are remembered.
	permitsKept = 4096
)

func newTickets() tickets {
	return tickets{held: map[permitKey]permit{}, asked: map[gangKey]bool{}, refused: map[permitKey]bool{}}
}

// advised says whether a job's queue asks for advice.
func (e *Scheduler) advised(j *jobs.Job) bool {
	c := e.current()
	for i := range c.Queues {
		if c.Queues[i].Key() == j.Job.Queue {
			return c.Queues[i].Advised
		}
	}
	return false
}

// ticket returns a worker's permit for a step, or asks for it.
func (e *Scheduler) ticket(w *worker, j *jobs.Job, id batch.TaskID, now int64) (string, bool) {
	step := gangOf(id)
	key := permitKey{step: step, worker: w.id, incarnation: w.incarnation}
	if p, ok := e.tickets.held[key]; ok && p.validMs > now+permitMarginMs {
		return p.ticket, true
	}
	if !e.tickets.refused[key] && !e.tickets.asked[step] {
		e.ask(j, step, w, now)
	}
	return "", false
}

// ask asks which workers may run a step: first the one that is here, then others with room.
func (e *Scheduler) ask(j *jobs.Job, step gangKey, first *worker, now int64) {
	who := []string{first.id}
	lives := map[string]int64{first.id: first.incarnation}
	need := j.Job.Steps[step.step].Room()
	for id, w := range e.workers {
		key := permitKey{step: step, worker: id, incarnation: w.incarnation}
		if len(who) >= askedAtOnce || id == first.id || w.pool != first.pool || !w.usable(now) || e.tickets.refused[key] {
			continue
		}
		if _, held := e.tickets.held[key]; !held && w.capacity.Holds(need) {
			who = append(who, id)
			lives[id] = w.incarnation
		}
	}
	name := fmt.Sprintf("%s.%d.%d", step.job, step.occurrence, step.step)
	asked := now
	term := e.term
	sent := e.options.Orders(Order{Kind: OrderAdvise, Step: name, Workers: who, Term: term, Done: func(r OrderResult) {
		if e.term != term {
			return
		}
		delete(e.tickets.asked, step)
		if r.Code != OrderDone {
			return
		}
		if len(e.tickets.held)+len(e.tickets.refused) > permitsKept {
			e.tickets = newTickets()
		}
		for _, id := range who {
			key := permitKey{step: step, worker: id, incarnation: lives[id]}
			if t, ok := r.Granted[id]; ok {
				e.tickets.held[key] = permit{ticket: t, validMs: asked + r.ValidMs}
			} else {
				e.tickets.refused[key] = true
			}
		}
		e.touch(step.job)
	}})
	e.tickets.asked[step] = sent
}
