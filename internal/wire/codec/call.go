package codec

import (
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/peer"
)

// CallToWire encodes a call on the leader as a message.
func CallToWire(c *batch.Call) *peer.LinkCall {
	w := &peer.LinkCall{
		ReadConfiguration: c.ReadConfiguration, WaveState: c.WaveState, Inspect: InspectRequestToWire(c.Inspect),
		Credential: digestToWire(c.Credential), Operator: c.Operator,
	}
	if c.ReadAccess != nil {
		w.ReadAccess = &peer.LinkReadAccess{KnownVersion: c.ReadAccess.KnownVersion}
	}
	if c.Submit != nil {
		w.Submit = batchJobToWire(&c.Submit.Job)
		w.SubmitTo = &peer.LinkLookup{Host: c.Submit.Host, Path: c.Submit.Path}
	}
	w.Cancel, w.State, w.Pending = requestTargetToWire(c.Cancel), requestTargetToWire(c.JobState), requestTargetToWire(c.Pending)
	if c.Heartbeat != nil {
		w.Heartbeat = heartbeatToWire(c.Heartbeat)
	}
	if c.Deregister != nil {
		w.Leave = &peer.LinkLeaving{Worker: c.Deregister.Worker, Incarnation: c.Deregister.Incarnation}
	}
	if c.Configure != nil {
		w.Configure = ConfigurationToWire(c.Configure)
	}
	if c.StartWave != nil {
		w.StartWave = batchWaveToWire(c.StartWave)
	}
	return w
}

// CallFromWire decodes a call from a message.
func CallFromWire(w *peer.LinkCall) *batch.Call {
	c := &batch.Call{
		ReadConfiguration: w.GetReadConfiguration(), WaveState: w.GetWaveState(), Inspect: InspectRequestFromWire(w.GetInspect()),
		Credential: digestFromWire(w.GetCredential()), Operator: w.GetOperator(),
	}
	if r := w.GetReadAccess(); r != nil {
		c.ReadAccess = &batch.AccessRequest{KnownVersion: r.GetKnownVersion()}
	}
	if w.GetSubmit() != nil {
		c.Submit = &batch.Submission{Host: w.GetSubmitTo().GetHost(), Path: w.GetSubmitTo().GetPath(), Job: batchJobFromWire(w.GetSubmit())}
	}
	c.Cancel, c.JobState, c.Pending = requestTargetFromWire(w.GetCancel()), requestTargetFromWire(w.GetState()), requestTargetFromWire(w.GetPending())
	if w.GetHeartbeat() != nil {
		c.Heartbeat = heartbeatFromWire(w.GetHeartbeat())
	}
	if l := w.GetLeave(); l != nil {
		c.Deregister = &batch.Deregistration{Worker: l.GetWorker(), Incarnation: l.GetIncarnation()}
	}
	if w.GetConfigure() != nil {
		c.Configure = ConfigurationFromWire(w.GetConfigure())
	}
	if w.GetStartWave() != nil {
		wave := batchWaveFromWire(w.GetStartWave())
		c.StartWave = &wave
	}
	return c
}

func requestTargetToWire(l *batch.RequestTarget) *peer.LinkLookup {
	if l == nil {
		return nil
	}
	return &peer.LinkLookup{Host: l.Host, Path: l.Path}
}

func requestTargetFromWire(w *peer.LinkLookup) *batch.RequestTarget {
	if w == nil {
		return nil
	}
	return &batch.RequestTarget{Host: w.GetHost(), Path: w.GetPath()}
}

func heartbeatToWire(h *batch.Heartbeat) *peer.LinkHeartbeat {
	w := &peer.LinkHeartbeat{
		Worker: h.Worker, Incarnation: h.Incarnation, Sequence: h.Sequence, Pool: h.Pool, Address: h.Address,
		DataCentre: h.DataCentre, Draining: h.Draining, RemainingMs: h.RemainingMs, Labels: h.Labels,
		CpuMilli: h.Capacity.CPUMilli, MemoryMb: h.Capacity.MemoryMB, Accelerators: h.Capacity.Accelerators,
		UnreadRunning: int64(h.UnreadRunning), UnreadEnded: int64(h.UnreadEnded),
		MoreEnds: h.MoreEnds, ClockMs: h.ClockMs,
	}
	for _, r := range h.Running {
		w.Running = append(w.Running, &peer.LinkRunning{
			Task: taskIDToWire(r.Task), Attempt: intToWire(r.Attempt), Checkpoint: r.Checkpoint, Percent: intToWire(r.Percent), Load: r.Load,
		})
	}
	for _, e := range h.Ended {
		w.Ended = append(w.Ended, &peer.LinkEnded{
			Number: e.Number, Task: taskIDToWire(e.Task), Attempt: intToWire(e.Attempt), Kind: uint32(e.Kind), Checkpoint: e.Checkpoint,
		})
	}
	return w
}

func heartbeatFromWire(w *peer.LinkHeartbeat) *batch.Heartbeat {
	h := &batch.Heartbeat{
		Worker: w.GetWorker(), Incarnation: w.GetIncarnation(), Sequence: w.GetSequence(), Pool: w.GetPool(),
		Address: w.GetAddress(), DataCentre: w.GetDataCentre(), Draining: w.GetDraining(), RemainingMs: w.GetRemainingMs(),
		Labels:        w.GetLabels(),
		UnreadRunning: int(w.GetUnreadRunning()), UnreadEnded: int(w.GetUnreadEnded()),
		MoreEnds: w.GetMoreEnds(), ClockMs: w.GetClockMs(),
		Capacity: batch.Resources{CPUMilli: w.GetCpuMilli(), MemoryMB: w.GetMemoryMb(), Accelerators: w.GetAccelerators()},
	}
	for _, r := range w.GetRunning() {
		h.Running = append(h.Running, batch.Running{
			Task: taskIDFromWire(r.GetTask()), Attempt: int(r.GetAttempt()), Checkpoint: r.GetCheckpoint(),
			Percent: int(r.GetPercent()), Load: r.GetLoad(),
		})
	}
	for _, e := range w.GetEnded() {
		h.Ended = append(h.Ended, batch.EndReport{
			Number: e.GetNumber(), Task: taskIDFromWire(e.GetTask()), Attempt: int(e.GetAttempt()),
			Kind: batch.EndKind(e.GetKind()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return h
}

// ReplyToWire encodes a reply as a message.
func ReplyToWire(r *batch.Reply) *peer.LinkReply {
	w := &peer.LinkReply{
		Code: uint32(r.Code), Detail: r.Detail, Phase: uint32(r.Phase), Pending: int64(r.Pending), Text: r.Text,
		Complete: r.Complete, Inspection: InspectionToWire(r.Inspection), RetryAfterMs: r.RetryAfterMs, Access: accessToWire(r.Access),
	}
	o := &r.Orders
	w.Orders = &peer.LinkOrders{
		LeaseMs: o.LeaseMs, Acknowledged: o.Acknowledged, FencingToken: o.FencingToken, NextMs: o.NextHeartbeatMs, Leader: o.Leader,
	}
	for _, s := range o.Start {
		w.Orders.Start = append(w.Orders.Start, &peer.LinkStart{
			Task: taskIDToWire(s.Task), Attempt: intToWire(s.Attempt), Text: s.Text, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		})
	}
	for _, s := range o.Stop {
		w.Orders.Stop = append(w.Orders.Stop, &peer.LinkStop{Task: taskIDToWire(s.Task), Attempt: intToWire(s.Attempt)})
	}
	for _, p := range o.Pace {
		w.Orders.Pace = append(w.Orders.Pace, &peer.LinkPace{
			Task: taskIDToWire(p.Task), Attempt: intToWire(p.Attempt), Percent: intToWire(p.Percent),
		})
	}
	return w
}

// ReplyFromWire decodes a reply from a message.
func ReplyFromWire(w *peer.LinkReply) batch.Reply {
	o := w.GetOrders()
	r := batch.Reply{
		Code: batch.Code(w.GetCode()), Detail: w.GetDetail(), Phase: batch.Phase(w.GetPhase()), Pending: int(w.GetPending()),
		Text: w.GetText(), Complete: w.GetComplete(), Inspection: InspectionFromWire(w.GetInspection()),
		RetryAfterMs: w.GetRetryAfterMs(), Access: accessFromWire(w.GetAccess()),
		Orders: batch.Orders{
			LeaseMs: o.GetLeaseMs(), Acknowledged: o.GetAcknowledged(), FencingToken: o.GetFencingToken(), NextHeartbeatMs: o.GetNextMs(),
			Leader: o.GetLeader(),
		},
	}
	for _, s := range o.GetStart() {
		r.Orders.Start = append(r.Orders.Start, batch.StartOrder{
			Task: taskIDFromWire(s.GetTask()), Attempt: int(s.GetAttempt()), Text: s.GetText(), Checkpoint: s.GetCheckpoint(),
			Ticket: s.GetTicket(),
		})
	}
	for _, s := range o.GetStop() {
		r.Orders.Stop = append(r.Orders.Stop, batch.StopOrder{Task: taskIDFromWire(s.GetTask()), Attempt: int(s.GetAttempt())})
	}
	for _, p := range o.GetPace() {
		r.Orders.Pace = append(r.Orders.Pace, batch.PaceOrder{
			Task: taskIDFromWire(p.GetTask()), Attempt: int(p.GetAttempt()), Percent: int(p.GetPercent()),
		})
	}
	return r
}
