package node

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/quorum"
)

var (
	diskFailures = metrics.NewCounter("cowslip_control_disk_failures_total")
	diskFull     = metrics.NewCounter("cowslip_control_disk_full_total")
)

// diskRequest is either a write of the log or an agreement to the first members of a group. The result of an
// agreement is sent to done, which is nil for a write; the sync of a write is posted to the loop.
type diskRequest struct {
	write   *quorum.Write
	members []quorum.Member
	done    chan error
}

// diskQueue holds the requests for the disk. The back-pressure of the log bounds it, so that add never blocks.
type diskQueue struct {
	mu       sync.Mutex
	requests []diskRequest
	ready    chan struct{}
}

func newDiskQueue() *diskQueue {
	return &diskQueue{ready: make(chan struct{}, 1)}
}

func (q *diskQueue) add(r diskRequest) {
	q.mu.Lock()
	q.requests = append(q.requests, r)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *diskQueue) take() []diskRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests := q.requests
	q.requests = nil
	return requests
}

// RunDisk syncs the log until the context ends. If the disk fails, this replica stops and the process keeps running.
func (n *Node) RunDisk(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.diskQueue.ready:
		}
		if err := n.processRequests(ctx, n.diskQueue.take()); err != nil {
			if ctx.Err() != nil && errors.Is(err, quorum.ErrFull) {
				n.options.Logger.Info("stopped_while_disk_full", zap.Error(err))
				return nil
			}
			diskFailures.Inc()
			failed := func() { n.fail(errors.Wrap(err, "data folder")) }
			if err := n.options.Loop.Post(ctx, failed); err != nil {
				return nil
			}
			<-ctx.Done()
			return nil
		}
	}
}

// processRequests handles requests in order; all writes between two agreements share one sync.
func (n *Node) processRequests(ctx context.Context, requests []diskRequest) error {
	var writes []quorum.Write
	for _, r := range requests {
		if r.write != nil {
			writes = append(writes, *r.write)
			continue
		}
		if err := n.saveWrites(ctx, writes); err != nil {
			return err
		}
		writes = nil
		r.done <- n.options.Disk.Agree(r.members)
	}
	return n.saveWrites(ctx, writes)
}

func (n *Node) saveWrites(ctx context.Context, writes []quorum.Write) error {
	if len(writes) == 0 {
		return nil
	}
	if err := n.saveWithRetry(ctx, writes); err != nil {
		return err
	}
	last := writes[len(writes)-1].Sequence
	persisted := func() {
		n.step(func() { n.options.Replica.Persisted(last) })
	}
	if err := n.options.Loop.Post(ctx, persisted); err != nil {
		n.options.Logger.Debug("sync_not_reported", zap.Error(err))
	}
	return nil
}

// fullDiskRetryInterval is the time between attempts to write to a full disk.
const fullDiskRetryInterval = 200 * time.Millisecond

// saveWithRetry saves writes. While the disk is full it retries, and this replica acknowledges nothing.
func (n *Node) saveWithRetry(ctx context.Context, writes []quorum.Write) error {
	err := n.options.Disk.Save(writes)
	if !errors.Is(err, quorum.ErrFull) {
		return err
	}
	since := n.options.Clock.Now()
	diskFull.Inc()
	n.options.Logger.Error("disk_full", zap.Int("writes", len(writes)), zap.Error(err))
	for errors.Is(err, quorum.ErrFull) {
		if !clock.Sleep(ctx, n.options.Clock, fullDiskRetryInterval) {
			return err
		}
		err = n.options.Disk.Save(nil)
	}
	n.options.Logger.Info("disk_has_room", zap.Duration("after", n.options.Clock.Now().Sub(since)), zap.Error(err))
	return err
}

// snapshot hands a snapshot of the state to the log, which drops the entries that the snapshot covers.
func (n *Node) snapshot() {
	data, err := n.options.Codec.EncodeState(n.machine.State())
	if err != nil {
		n.fail(err)
		return
	}
	n.options.Replica.Compact(n.applied, data)
	n.snapshotted, n.appliedBytes, n.snapshotBytes = n.applied, 0, len(data)
	n.options.Logger.Info("snapshot_made", zap.Uint64("index", n.applied), zap.Int("bytes", len(data)))
}

func (n *Node) restore(s quorum.Snapshot) error {
	st, err := n.options.Codec.DecodeState(s.Data)
	if err != nil {
		return errors.Wrapf(err, "restore the state of index %d", s.Index)
	}
	n.machine.Restore(st)
	n.applied, n.snapshotted = s.Index, s.Index
	n.appliedBytes, n.snapshotBytes = 0, len(s.Data)
	n.options.Logger.Info("snapshot_restored", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return nil
}
