package accept

// Reason is why a job is accepted or refused; the zero value is invalid.
type Reason int

const (
	// ReasonRoom means that the job can be done in time beside all others.
	ReasonRoom Reason = iota + 1 // room
	// ReasonShare means that the job is within its account's share: it goes before what is beyond the shares of others.
	ReasonShare // share
	// ReasonSlack means that the job takes longer than its SLO by itself: it is late whenever it comes, and is accepted.
	ReasonSlack // slack
	// ReasonLimit means that the limit of the account leaves no room for it in time.
	ReasonLimit // account_limit
	// ReasonPool means that its pool's VMs can't do it in time.
	ReasonPool // pool
	// ReasonFleet means that all VMs together can't do it in time.
	ReasonFleet // fleet
)

// Candidate is a new job.
type Candidate struct {
	Work

	// SlackMs is the time by which the job may start later than now and still be in time, in milliseconds.
	SlackMs int64
	// AloneMs is the slack that the job had when it was first submitted, in milliseconds. A job that was refused is judged by
	// room however late it returns: accepted by its SlackMs alone, a flood that lasts would be accepted at its second try.
	AloneMs int64
	// Spread is a number that differs from job to job; it spreads the returns of callers.
	Spread uint64
}

// Verdict is the decision on a job, with what it rests on.
type Verdict struct {
	// Accepted means that the job can be done in time by what is known.
	Accepted bool
	// Reason is why.
	Reason Reason
	// LackMs is the processor time that is missing for it, in core-milliseconds.
	LackMs float64
	// ShareMs is the work that its account may have done over the horizon, and AskedMs what it asks for with this job.
	ShareMs, AskedMs float64
	// RetryAfterMs is when the caller of a refused job should come back, in milliseconds.
	RetryAfterMs int64
}

const (
	// minReturnMs is the least time after which a refused caller comes back: what is known changes as VMs move and jobs end.
	minReturnMs = 1000
	// returnsInTime is how often a refused caller may come back before its job can't be in time any more.
	returnsInTime = 3
	// maxReturnMs bounds how long callers are sent away: the backlog may be gone sooner than expected.
	maxReturnMs = 30_000
)

// Judge decides whether a new job is accepted, and adds it to the book if so.
//
// It answers a load that is above what there is: a job that is accepted and not done in time costs its caller the wait, and
// takes room from jobs that could still be in time, so that a caller is better off with the truth at once. A job is accepted if
// it can be done in time beside all that was accepted, or if it is within the share of its account: what is beyond the shares
// of others gives way then.
func (b *Book) Judge(c *Candidate) Verdict {
	if c.AloneMs <= 0 {
		return Verdict{Accepted: true, Reason: ReasonSlack}
	}
	v := b.judge(c)
	if v.Accepted {
		b.Add(&c.Work)
	} else {
		v.RetryAfterMs = b.returnMs(c, v.LackMs)
	}
	return v
}

func (b *Book) judge(c *Candidate) Verdict {
	v := Verdict{AskedMs: b.claims[c.Account].Demand + c.Ms}
	if l := b.accountOf(c.Account); l != nil {
		if lack, fits := l.Fits(c.DueMs, c.Ms); !fits {
			v.Reason, v.LackMs = ReasonLimit, lack
			return v
		}
	}
	poolLack, poolFits := b.poolOf(c.Pool).Fits(c.DueMs, c.Ms)
	fleetLack, fleetFits := b.fleet.Fits(c.DueMs, c.Ms)
	if poolFits && fleetFits {
		v.Accepted, v.Reason = true, ReasonRoom
		return v
	}
	v.LackMs = max(poolLack, fleetLack)
	v.ShareMs = b.shareOf(c.Account, c.Ms)
	if v.AskedMs <= v.ShareMs && c.Ms <= b.poolOf(c.Pool).rate.By(c.DueMs) {
		v.Accepted, v.Reason = true, ReasonShare
		return v
	}
	v.Reason = ReasonFleet
	if !poolFits {
		v.Reason = ReasonPool
	}
	return v
}

// returnMs returns when the caller of a refused job comes back: while the job could still be in time, a few times at most, as
// room may open; then once the backlog has drained.
func (b *Book) returnMs(c *Candidate, lackMs float64) int64 {
	if waitMs := c.SlackMs / returnsInTime; waitMs >= minReturnMs {
		return waitMs/2 + int64(c.Spread%uint64(waitMs))
	}
	drainMs := int64(min(maxReturnMs, lackMs/max(1, b.room.Fleet.Soon)))
	waitMs := max(minReturnMs, drainMs+c.DueMs)
	return min(maxReturnMs, waitMs+int64(c.Spread%uint64(waitMs)))
}
