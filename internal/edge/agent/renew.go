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
	// retryShare is the part of the renewal interval after which a failed renewal is tried again.
	retryShare = 4
	// settleTime is how long a VM counts as in use after it was closed for new work.
	settleTime = 500 * time.Millisecond
	// reportEvery is the least time between reports of the services' counts.
	reportEvery = 2 * time.Second
)

var leaseLapses = metrics.NewCounter("cowslip_lease_lapses_total")

// Run renews the lease until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.Learn(ctx)
	for ctx.Err() == nil {
		pause := a.options.Renew
		news, err := a.Renew(ctx)
		switch {
		case err != nil:
			a.options.Logger.Debug("lease_not_renewed", zap.Error(err))
			pause /= retryShare
		case news:
			// What is new is acknowledged at once.
			continue
		}
		if !a.sleep(ctx, a.jitter(pause)) {
			return nil
		}
	}
	return nil
}

// Renew renews the lease once and says whether there was news, which is to be acknowledged at once.
func (a *Agent) Renew(ctx context.Context) (bool, error) {
	// The lease counts from before the renewal is sent: the leader's answer may be late.
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
	// A large document takes a while to parse; the loop goes on meanwhile.
	next, err := nextDocument(known, g)
	if err != nil {
		a.options.Logger.Error("document_not_taken", zap.Uint64("revision", g.Revision), zap.Error(err))
		return false, a.options.Loop.Call(ctx, func() { a.document.whole = true })
	}
	if a.View().Lease.Length > 0 && !a.View().Lease.Valid(sent) {
		// Endpoints may have left or come unheard while this entry was frozen or cut off.
		a.Learn(ctx)
	}
	news := g.Revision > known.revision || len(g.VMs) > 0
	return news, a.options.Loop.Call(ctx, func() { a.granted(sent, r, g, next) })
}

// renewal returns what the leader is told.
func (a *Agent) renewal(now time.Time) grant.Renewal {
	r := grant.Renewal{
		Entry: a.options.Name, Incarnation: a.started, Lease: a.options.Lease,
		Revision: a.document.revision, WantDocument: a.document.whole, LogIndex: a.marks.index,
		EntriesVersion: a.version, Usages: a.marks.usages(a.options.Traffic, now, settleTime),
	}
	if !a.reportAll && now.Sub(a.reportAt) < reportEvery {
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

// nextDocument returns the document that is in force with a grant.
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

// granted takes a grant: the document first, since the lease holds only with it.
func (a *Agent) granted(sent time.Time, r grant.Renewal, g grant.Grant, next document) {
	fields := []zap.Field{
		zap.Uint64("revision", a.document.revision), zap.Uint64("heard", next.revision),
		zap.Uint64("index", a.marks.index), zap.Uint64("heard_index", g.LogIndex),
	}
	if !check.That(next.revision >= a.document.revision && g.LogIndex >= a.marks.index, "document_revision_only_rises", fields...) {
		return
	}
	if next.revision > a.document.revision {
		a.options.Logger.Info("document_in_force", zap.Uint64("revision", next.revision))
	}
	a.document = next
	a.marks.take(g.VMs, a.options.Clock.Now())
	a.marks.index = g.LogIndex
	if g.EntriesVersion > a.version && len(g.Entries) > 0 {
		a.version, a.entries = g.EntriesVersion, g.Entries
	}
	a.touch(g.VMs)
	a.told(r, g)
	a.noteLapse(sent)
	if !a.leased {
		a.leased = true
		a.options.Logger.Info("lease_gained", zap.Uint64("revision", next.revision))
	}
	a.lease = route.Lease{Start: sent, Length: a.options.Lease}
	a.publish()
}

// noteLapse writes the lapse of the lease to the log, once for each lapse.
func (a *Agent) noteLapse(now time.Time) {
	if a.leased && !a.lease.Valid(now) {
		a.leased = false
		leaseLapses.Inc()
		a.options.Logger.Warn("lease_lapsed", zap.Uint64("revision", a.document.revision))
	}
}

// touch marks the services that have an endpoint on one of the VMs for publication.
func (a *Agent) touch(changed []fleet.VMRoutingState) {
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

// told notes which counts the leader knows now.
func (a *Agent) told(r grant.Renewal, g grant.Grant) {
	if len(r.Reports) > 0 {
		a.reportAt = a.options.Clock.Now()
	}
	for _, report := range r.Reports {
		a.reported[report.Service] = report
	}
	a.reportAll = g.WantReports
}
