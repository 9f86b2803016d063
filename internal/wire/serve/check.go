package serve

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/review"
	"cowslipstack/internal/wire/peer"
)

// CheckConfiguration checks a configuration against the leader's state and the active configuration; it changes nothing. It
// fails if the leader can't be asked, since a report without the active configuration might hide a fault.
func (s *Batch) CheckConfiguration(
	ctx context.Context, r *connect.Request[peer.CheckConfigurationRequest],
) (*connect.Response[peer.CheckConfigurationResponse], error) {
	next, err := s.Decode(r.Msg.GetText())
	if err != nil {
		var fault *batch.TextError
		if !errors.As(err, &fault) {
			return nil, connect.NewError(connect.CodeInternal, errors.New("the configuration can't be decoded"))
		}
		return s.reply(&batch.Configuration{}, nil, review.Unreadable(fault)), nil
	}
	active, err := s.activeConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	known, err := s.knownState(ctx)
	if err != nil {
		return nil, err
	}
	return s.reply(next, active, review.Check(next, active, known)), nil
}

// activeConfiguration returns the active configuration, or nil if there is none.
func (s *Batch) activeConfiguration(ctx context.Context) (*batch.Configuration, error) {
	overview := s.Proxy.Do(ctx, &batch.Call{Inspect: &batch.InspectRequest{Topic: batch.TopicOverview}})
	if err := replyError(overview); err != nil {
		return nil, err
	}
	if overview.Inspection == nil || overview.Inspection.Overview == nil {
		return nil, connect.NewError(connect.CodeInternal, errors.New("the leader's answer has no overview"))
	}
	if overview.Inspection.Overview.Version == 0 {
		return nil, nil
	}
	reply := s.Proxy.Do(ctx, &batch.Call{ReadConfiguration: true})
	if err := replyError(reply); err != nil {
		return nil, err
	}
	active, err := s.Decode(reply.Text)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, errors.New("the active configuration can't be decoded by this version"))
	}
	return active, nil
}

// knownState returns what the leader knows of the pools' VMs and of the accounts' jobs.
func (s *Batch) knownState(ctx context.Context) (review.Known, error) {
	var known review.Known
	reply := s.Proxy.Do(ctx, &batch.Call{Inspect: &batch.InspectRequest{Topic: batch.TopicVMs}})
	if err := replyError(reply); err != nil {
		return known, err
	}
	// A new leader has no list of the VMs yet.
	if reply.Inspection != nil && len(reply.Inspection.VMs) > 0 {
		known.VMs = map[string]int{}
		for i := range reply.Inspection.VMs {
			known.VMs[reply.Inspection.VMs[i].Pool]++
		}
	}
	reply = s.Proxy.Do(ctx, &batch.Call{Inspect: &batch.InspectRequest{Topic: batch.TopicAccounts}})
	// A leader of an earlier version doesn't know the topic.
	if reply.Code == batch.CodeInvalid {
		return known, nil
	}
	if err := replyError(reply); err != nil {
		return known, err
	}
	known.Needs = map[string]batch.Resources{}
	if reply.Inspection != nil {
		for _, a := range reply.Inspection.Accounts {
			known.Needs[a.Name] = a.LargestNeed
		}
	}
	return known, nil
}

// reply logs the outcome of a check and returns the response.
func (s *Batch) reply(next, active *batch.Configuration, report review.Report) *connect.Response[peer.CheckConfigurationResponse] {
	response := &peer.CheckConfigurationResponse{
		Errors: int64(report.Errors), Warnings: int64(report.Warnings), Notes: int64(report.Notes), Omitted: int64(report.Omitted),
		Version: next.Version,
	}
	if active != nil {
		response.ActiveVersion = active.Version
	}
	for _, f := range report.Findings {
		response.Findings = append(response.Findings, &peer.ConfigurationFinding{
			Severity: f.Severity.String(), Subject: f.Subject.String(), Name: f.Name, Line: int64(f.Line), Column: int64(f.Column), Text: f.Text,
		})
	}
	s.Logger.Info("configuration_checked", zap.Uint64("version", response.Version), zap.Uint64("held", response.ActiveVersion),
		zap.Int("errors", report.Errors), zap.Int("warnings", report.Warnings), zap.Int("notes", report.Notes))
	return connect.NewResponse(response)
}
