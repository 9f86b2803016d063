package serve

import (
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/lead"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/spare"
	"cowslipstack/internal/plan/waves"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Fleet serves operators' calls about VMs, pools, waves and jobs, on the leader.
type Fleet struct {
	// Node gives access to the replicated state.
	Node Node
	// Clock provides the time of commands and plans.
	Clock clock.Clock
}

// Show returns the state from which plans are made.
func (s *Fleet) Show(ctx context.Context, _ *connect.Request[peer.ShowRequest]) (*connect.Response[peer.ShowResponse], error) {
	input, err := lead.ReadInput(ctx, s.Node, s.Clock.Now())
	if err != nil {
		return nil, controlError(err)
	}
	w := &peer.ShowResponse{}
	for _, v := range input.VMs {
		w.Vms = append(w.Vms, codec.VMToWire(v))
	}
	for _, v := range input.Waves {
		w.Waves = append(w.Waves, codec.WaveToWire(v))
	}
	for _, j := range input.Jobs {
		w.Jobs = append(w.Jobs, codec.JobToWire(j))
	}
	in := lead.WavesInput(input)
	w.Pools = poolStatus(input, in)
	for _, b := range in.Budgets {
		w.Budgets = append(w.Budgets, &peer.BudgetStatus{
			Service: b.Policy.Service, Pool: b.Policy.Pool, AllowedMs: b.Policy.AllowedMS,
			SeenMs: b.SeenMS, ReservedMs: b.ReservedMS, LeftMs: b.LeftMS(),
		})
	}
	return connect.NewResponse(w), nil
}

func poolStatus(input lead.Input, in waves.Input) []*peer.PoolStatus {
	active := map[string]int64{}
	for _, v := range input.VMs {
		if v.Phase == fleet.PhaseActive {
			active[v.Pool]++
		}
	}
	needs := map[string]int{}
	for _, p := range in.Pools {
		needs[p.Name] = p.Need
	}
	var pools []*peer.PoolStatus
	for _, p := range input.Environment.Pools {
		name := string(p.Name)
		d := input.Demands[name]
		pools = append(pools, &peer.PoolStatus{
			Name: name, Spare: p.Spare, Size: int64(p.Size), Active: active[name],
			Need: int64(needs[name]), MeanMilli: d.MeanMilli, PeakMilli: d.PeakMilli,
		})
	}
	return pools
}

// Change makes an operator's change, or describes its effects if it is a dry run.
func (s *Fleet) Change(ctx context.Context, r *connect.Request[peer.ChangeRequest]) (*connect.Response[peer.ChangeResponse], error) {
	c := codec.CommandFromWire(r.Msg.GetCommand())
	if first, ok := s.firstResult(ctx, c.RequestID); ok {
		return changeResponse(first)
	}
	input, err := lead.ReadInput(ctx, s.Node, s.Clock.Now())
	if err != nil {
		return nil, controlError(err)
	}
	shortage := ""
	switch {
	case c.VM != nil:
		if shortage, err = prepareVM(input, c.VM); err != nil {
			return nil, err
		}
	case c.Wave != nil:
		prepareWave(input, c.Wave)
	case c.Job == nil || !slices.Contains(operatorSteps, c.Job.Step):
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("operators change VMs, waves and jobs only"))
	}
	switch {
	case shortage != "" && !r.Msg.GetForce() && !r.Msg.GetDryRun():
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("%s; --force makes the change all the same", shortage))
	case r.Msg.GetDryRun():
		return connect.NewResponse(&peer.ChangeResponse{Message: dryRunMessage(input, c, shortage)}), nil
	}
	c.Time = s.Clock.Now()
	result, err := s.Node.Submit(ctx, c)
	if err != nil {
		return nil, controlError(err)
	}
	return changeResponse(result)
}

// firstResult returns the stored result of a request that is sent again. Such a request is not evaluated again,
// because the state may have changed since.
func (s *Fleet) firstResult(ctx context.Context, id string) (result record.Result, found bool) {
	err := s.Node.View(ctx, func(st *state.State) {
		for _, r := range slices.Backward(st.Requests) {
			if r.ID == id && id != "" {
				result, found = r.Result, true
				return
			}
		}
	})
	return result, found && err == nil
}

func changeResponse(result record.Result) (*connect.Response[peer.ChangeResponse], error) {
	if err := result.Err(); err != nil {
		return nil, connect.NewError(resultCode(result.Code), err)
	}
	return connect.NewResponse(&peer.ChangeResponse{Message: result.Message}), nil
}

// operatorSteps are the job steps that operators may take.
var operatorSteps = []record.JobStep{record.JobSubmit, record.JobCancel, record.JobHold, record.JobRelease}

// prepareVM sets the epoch and version that the change builds on. It returns a description of the shortage if the
// change would leave a pool short of VMs, else an empty string.
func prepareVM(input lead.Input, c *record.VMChange) (string, error) {
	index := slices.IndexFunc(input.VMs, func(v fleet.VM) bool { return v.Name == c.VM })
	if index < 0 {
		return "", connect.NewError(connect.CodeNotFound, fmt.Errorf("no VM is named %q", c.VM))
	}
	v := input.VMs[index]
	c.Epoch = v.Epoch
	if c.Version == 0 {
		c.Version = v.Version
	}
	switch {
	case c.Step == record.VMReturn && v.Phase == fleet.PhaseDraining:
		c.Step = record.VMActivate
	case c.Step == record.VMReturn && (v.Phase != fleet.PhaseStopped || v.Work != fleet.WorkOperatorDrain):
		return "", connect.NewError(connect.CodeAborted, fmt.Errorf("VM %q is %s for %q; only what an operator drained is returned", v.Name, v.Phase, v.Work))
	case c.Step == record.VMDrain:
		return waves.ShortageWithout(lead.WavesInput(input), c.VM), nil
	case c.Step != record.VMReturn:
		return "", connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("operators drain, move and return VMs only"))
	}
	return "", nil
}

// prepareWave sets the cutoff of a wave that starts. For other steps it fills in the current wave if none is named.
func prepareWave(input lead.Input, c *record.WaveChange) {
	if c.Step == record.WaveStart {
		c.Cutoff = input.Now
		return
	}
	if w, ok := waves.Current(input.Waves); ok && c.Wave == "" {
		c.Wave = w.Name
	}
}

func dryRunMessage(input lead.Input, c record.Command, shortage string) string {
	switch {
	case shortage != "":
		return "would be refused: " + shortage
	case c.Wave != nil && c.Wave.Step == record.WaveStart:
		in := lead.WavesInput(input)
		w := fleet.Wave{Name: c.Wave.Wave, Urgent: c.Wave.Urgent, Pool: c.Wave.Pool, DataCentre: c.Wave.DataCentre, Cutoff: c.Wave.Cutoff, Phase: fleet.WaveRunning}
		return waves.Forecast(in, w)
	default:
		return "the change would be made"
	}
}

// Explain returns the inputs, the rule and the resulting change of a decision.
func (s *Fleet) Explain(ctx context.Context, r *connect.Request[peer.ExplainRequest]) (*connect.Response[peer.ExplainResponse], error) {
	input, err := lead.ReadInput(ctx, s.Node, s.Clock.Now())
	if err != nil {
		return nil, controlError(err)
	}
	reason, found := explain(input, r.Msg.GetKind(), r.Msg.GetName())
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no %s is named %q", r.Msg.GetKind(), r.Msg.GetName()))
	}
	return connect.NewResponse(&peer.ExplainResponse{
		Subject: r.Msg.GetKind() + " " + r.Msg.GetName(), Inputs: reason.Inputs, Rule: reason.Rule, Change: reason.Change,
	}), nil
}

func explain(input lead.Input, kind, name string) (record.Reason, bool) {
	in := lead.WavesInput(input)
	switch kind {
	case "vm":
		return waves.Explain(in, name)
	case "wave":
		for _, w := range input.Waves {
			if w.Name == name {
				return record.Reason{
					Inputs: fmt.Sprintf("%s since %s: %d returned, %d proven, %d failed", w.Phase, w.Changed.Format("15:04:05"), w.Returned, w.PassedProbation, w.Failed),
					Rule:   w.Cause, Change: waves.Forecast(in, w),
				}, true
			}
		}
	case "spare":
		return spare.Size(lead.SpareInput(input, in)).Reason, true
	case "job":
		return lead.ExplainJob(input, name)
	}
	return record.Reason{}, false
}
