package codec

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/peer"
)

// Codec encodes commands, log writes, snapshots and identities as protobuf; its zero value is ready to use.
type Codec struct{}

// EncodeCommand encodes a command; equal commands give equal bytes.
func (Codec) EncodeCommand(c record.Command) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(CommandToWire(c))
	return data, errors.Wrap(err, "encode command")
}

// DecodeCommand decodes a command; a change of an unknown kind is left unset.
func (Codec) DecodeCommand(data []byte) (record.Command, error) {
	var w peer.Command
	if err := proto.Unmarshal(data, &w); err != nil {
		return record.Command{}, errors.Wrap(err, "decode command")
	}
	return CommandFromWire(&w), nil
}

// CommandToWire encodes a command as a message.
func CommandToWire(c record.Command) *peer.Command {
	w := &peer.Command{RequestId: c.RequestID, TimeNs: timeToWire(c.Time)}
	switch {
	case c.Document != nil:
		w.Change = &peer.Command_Document{Document: &peer.DocumentChange{
			Environment: c.Document.Environment, BaseRevision: c.Document.BaseRevision,
			Text: c.Document.Text, Digest: c.Document.Digest,
		}}
	case c.Trial != nil:
		w.Change = &peer.Command_Trial{Trial: &peer.TrialChange{
			Environment: c.Trial.Environment, BaseRevision: c.Trial.BaseRevision, Text: c.Trial.Text,
		}}
	case c.Promote != nil:
		w.Change = &peer.Command_Promote{Promote: &peer.PromoteChange{
			BaseRevision: c.Promote.BaseRevision, Digest: c.Promote.Digest, AsTried: c.Promote.UseTrialBase,
		}}
	case c.Claim != nil:
		w.Change = &peer.Command_Claim{Claim: &peer.ClaimChange{
			Key: c.Claim.Key, Entry: c.Claim.Entry, Attempt: c.Claim.Attempt,
			IssuedNs: timeToWire(c.Claim.Issued), Step: uint32(c.Claim.Step), Digest: c.Claim.Digest,
		}}
	case c.VM != nil:
		w.Change = &peer.Command_Vm{Vm: vmChangeToWire(*c.VM)}
	case c.Budget != nil:
		w.Change = &peer.Command_Budget{Budget: budgetChangeToWire(*c.Budget)}
	case c.Wave != nil:
		w.Change = &peer.Command_Wave{Wave: waveChangeToWire(*c.Wave)}
	case c.Job != nil:
		w.Change = &peer.Command_Job{Job: jobChangeToWire(*c.Job)}
	case c.Batch != nil:
		w.Change = &peer.Command_Batch{Batch: batchChangeToWire(c.Batch)}
	case c.Demand != nil:
		w.Change = &peer.Command_Demand{Demand: &peer.DemandChange{Demand: demandToWire(c.Demand.Demand)}}
	}
	return w
}

// CommandFromWire decodes a command from a message; a change of an unknown kind is left unset.
func CommandFromWire(w *peer.Command) record.Command {
	c := record.Command{RequestID: w.GetRequestId(), Time: timeFromWire(w.GetTimeNs())}
	switch change := w.GetChange().(type) {
	case *peer.Command_Document:
		c.Document = &record.DocumentChange{
			Environment: change.Document.GetEnvironment(), BaseRevision: change.Document.GetBaseRevision(),
			Text: change.Document.GetText(), Digest: change.Document.GetDigest(),
		}
	case *peer.Command_Trial:
		c.Trial = &record.TrialChange{
			Environment: change.Trial.GetEnvironment(), BaseRevision: change.Trial.GetBaseRevision(), Text: change.Trial.GetText(),
		}
	case *peer.Command_Promote:
		c.Promote = &record.PromoteChange{
			BaseRevision: change.Promote.GetBaseRevision(), Digest: change.Promote.GetDigest(), UseTrialBase: change.Promote.GetAsTried(),
		}
	case *peer.Command_Claim:
		c.Claim = &record.ClaimChange{
			Key: change.Claim.GetKey(), Entry: change.Claim.GetEntry(), Attempt: change.Claim.GetAttempt(),
			Issued: timeFromWire(change.Claim.GetIssuedNs()), Step: record.ClaimStep(change.Claim.GetStep()),
			Digest: change.Claim.GetDigest(),
		}
	case *peer.Command_Vm:
		c.VM = vmChangeFromWire(change.Vm)
	case *peer.Command_Budget:
		c.Budget = budgetChangeFromWire(change.Budget)
	case *peer.Command_Wave:
		c.Wave = waveChangeFromWire(change.Wave)
	case *peer.Command_Job:
		c.Job = jobChangeFromWire(change.Job)
	case *peer.Command_Batch:
		c.Batch = batchChangeFromWire(change.Batch)
	case *peer.Command_Demand:
		c.Demand = &record.DemandChange{Demand: demandFromWire(change.Demand.GetDemand())}
	}
	return c
}

// ResultToWire encodes a result as a message.
func ResultToWire(r record.Result) *peer.Result {
	return &peer.Result{
		Code: uint32(r.Code), Message: r.Message, Revision: r.Revision, Digest: r.Digest,
		Epoch: r.Epoch, Entry: r.Entry, ClaimStep: uint32(r.Step),
	}
}

// ResultFromWire decodes a result from a message.
func ResultFromWire(w *peer.Result) record.Result {
	return record.Result{
		Code: record.Code(w.GetCode()), Message: w.GetMessage(), Revision: w.GetRevision(), Digest: w.GetDigest(),
		Epoch: w.GetEpoch(), Entry: w.GetEntry(), Step: record.ClaimStep(w.GetClaimStep()),
	}
}

func vmChangeToWire(c record.VMChange) *peer.VmChange {
	return &peer.VmChange{
		Vm: c.VM, Epoch: c.Epoch, Step: uint32(c.Step), Pool: c.Pool,
		DataCentre: c.Domain.DataCentre, Rack: c.Domain.Rack, Switch: c.Domain.Switch,
		Cores: c.Size.Cores, MemoryMb: c.Size.MemoryMB, Accelerators: c.Size.Accelerators,
		Cause: c.Cause, Version: c.Version, Work: c.Work,
	}
}

func vmChangeFromWire(w *peer.VmChange) *record.VMChange {
	return &record.VMChange{
		Step: record.VMStep(w.GetStep()), VM: w.GetVm(), Epoch: w.GetEpoch(), Pool: w.GetPool(),
		Domain: fleet.Domain{DataCentre: w.GetDataCentre(), Rack: w.GetRack(), Switch: w.GetSwitch()},
		Size:   fleet.Size{Cores: w.GetCores(), MemoryMB: w.GetMemoryMb(), Accelerators: w.GetAccelerators()},
		Cause:  w.GetCause(), Version: w.GetVersion(), Work: w.GetWork(),
	}
}

// timeToWire encodes a time as Unix nanoseconds; the zero time gives 0.
func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromWire(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}
