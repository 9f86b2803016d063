package agent

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
)

const (
	// retryDivisor divides the renewal interval to give the time after which a failed renewal is retried.
	retryDivisor = 4
	// settleTime is how long a VM counts as in use after it was closed to new work: requests may just have been routed.
	settleTime = 500 * time.Millisecond
	// reportInterval is the minimum time between reports of the services' counts.
	reportInterval = 2 * time.Second
)

var leaseLapses = metrics.NewCounter("cowslip_lease_lapses_total")

// Run learns the endpoints from another entry and then renews the lease until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.Learn(ctx)
	for ctx.Err() == nil {
		pause := a.options.Renew
		changed, err := a.Renew(ctx)
		switch {
		case err != nil:
			a.options.Logger.Debug("lease_not_renewed", zap.Error(err))
			pause /= retryDivisor
		case changed:
			// The next renewal acknowledges the change, so it is sent at once.
			continue
		}
		if !a.sleep(ctx, a.jitter(pause)) {
			return nil
		}
	}
	return nil
}

// Renew renews the lease once. It returns true if the grant changes the document or VM states; the caller then renews
// again at once to acknowledge the change.
func (a *Agent) Renew(ctx context.Context) (bool, error) {
	// The lease starts before the renewal is sent, since the leader's answer may be delayed.
	sent := a.options.Clock.Now()
	var r grant.Renewal
	var known document
	if err := a.options.Loop.Call(ctx, func() { r, known = a.renewal(sent), a.document }); err != nil {
		return false, err
	}
	call, cancel := context.WithTimeout(ctx, a.options.Lease)
	defer cancel()
	g, err := a.options.Control.Renew(call, r)
	if err != nil {
		return false, err
	}
	// Parsing a large document takes long, so it is done outside the control loop.
	next, err := nextDocument(known, g)
	if err != nil {
		a.options.Logger.Error("document_not_taken", zap.Uint64("revision", g.Revision), zap.Error(err))
		return false, a.options.Loop.Call(ctx, func() { a.document.needWhole = true })
	}
	if a.View().Lease.Length > 0 && !a.View().Lease.Valid(sent) {
		// This entry may have missed announcements while it was paused or disconnected.
		a.Learn(ctx)
	}
	changed := g.Revision > known.revision || len(g.VMs) > 0
	return changed, a.options.Loop.Call(ctx, func() { a.applyGrant(sent, r, g, next) })
}

// renewal returns the request for the next renewal.
func (a *Agent) renewal(now time.Time) grant.Renewal {
	r := grant.Renewal{
		Entry: a.options.Name, Incarnation: a.started, Lease: a.options.Lease,
		Revision: a.document.revision, WantDocument: a.document.needWhole, LogIndex: a.vmStates.index,
		EntriesVersion: a.version, Usages: a.vmStates.usages(a.options.Traffic, now, settleTime),
	}
	if !a.reportAll && now.Sub(a.lastReport) < reportInterval {
		return r
	}
	r.AllReports = a.reportAll
	for _, report := range a.options.Traffic.Reports() {
		if a.reportAll || a.reported[report.Service] != report {
			r.Reports = append(r.Reports, report)
		}
	}
	return r
}

// nextDocument applies a grant's document or delta and verifies the digest of the result.
func nextDocument(known document, g grant.Grant) (document, error) {
	if g.Document == nil {
		if g.Revision != known.revision {
			return document{}, errors.Newf("revision %d came without its text", g.Revision)
		}
		return known, nil
	}
	if base := g.Document.Base; base != 0 && base != known.revision {
		return document{}, errors.Newf("a delta builds on revision %d, not on %d", base, known.revision)
	}
	text, err := g.Document.Apply(known.text)
	if err != nil {
		return document{}, err
	}
	if digest := docs.Digest(text); digest != g.Digest {
		return document{}, errors.Newf("the text's digest is %s, not %s", digest, g.Digest)
	}
	environment, err := docs.Parse("revision", text)
	if err != nil {
		return document{}, errors.Wrap(err, "parse document")
	}
	return document{revision: g.Revision, text: text, environment: environment}, nil
}

// applyGrant applies a grant: first its document, then the lease, which is only valid with that document.
func (a *Agent) applyGrant(sent time.Time, r grant.Renewal, g grant.Grant, next document) {
	fields := []zap.Field{
		zap.Uint64("revision", a.document.revision), zap.Uint64("heard", next.revision),
		zap.Uint64("index", a.vmStates.index), zap.Uint64("heard_index", g.LogIndex),
	}
	if !check.That(next.revision >= a.document.revision && g.LogIndex >= a.vmStates.index, "document_revision_only_rises", fields...) {
		return
	}
	if next.revision > a.document.revision {
		a.options.Logger.Info("document_in_force", zap.Uint64("revision", next.revision))
	}
	a.document = next
	a.vmStates.apply(g.VMs, a.options.Clock.Now())
	a.vmStates.index = g.LogIndex
	if g.EntriesVersion > a.version && len(g.Entries) > 0 {
		a.version, a.entries = g.EntriesVersion, g.Entries
	}
	a.markDirty(g.VMs)
	a.recordReported(r, g)
	a.noteLeaseLapse(sent)
	if !a.leased {
		a.leased = true
		a.options.Logger.Info("lease_gained", zap.Uint64("revision", next.revision))
	}
	a.lease = route.Lease{Start: sent, Length: a.options.Lease}
	a.publish()
}

// noteLeaseLapse logs and counts the lapse of the lease, once for each lapse.
func (a *Agent) noteLeaseLapse(now time.Time) {
	if a.leased && !a.lease.Valid(now) {
		a.leased = false
		leaseLapses.Inc()
		a.options.Logger.Warn("lease_lapsed", zap.Uint64("revision", a.document.revision))
	}
}

// markDirty marks the services that have an endpoint on one of the changed VMs for publication.
func (a *Agent) markDirty(changed []fleet.VMRoutingState) {
	if len(changed) == 0 {
		return
	}
	vms := make(map[string]bool, len(changed))
	for _, m := range changed {
		vms[m.VM] = true
	}
	for _, e := range a.table.All() {
		if vms[e.VM] {
			a.dirty[e.Service] = true
		}
	}
}

// recordReported records which counts the leader has received.
func (a *Agent) recordReported(r grant.Renewal, g grant.Grant) {
	if len(r.Reports) > 0 {
		a.lastReport = a.options.Clock.Now()
	}
	for _, report := range r.Reports {
		a.reported[report.Service] = report
	}
	a.reportAll = g.WantReports
}
