package sched_test

import (
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/model/batch"
)

// TestAccountGaugesHold guards against metrics of an account that fall to 0 each time they are set: a reader sees the number of
// its waiting jobs at any time.
func TestAccountGaugesHold(t *testing.T) {
	h := newHarness()
	h.call("", &batch.Call{Configure: &batch.Configuration{
		Version: 1, RequiresKeys: true,
		Accounts: []batch.Account{{Name: "gauged", Keys: []batch.KeyDigest{batch.DigestOf("0")}}},
		Queues:   []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 4, TimeoutMs: 3000}}, Pools: []batch.Pool{{Name: "p"}},
	}})
	h.submitFor(0, 1)
	h.advance(1000)
	gauge := metrics.GetOrCreateGauge(`cowslip_account_jobs_waiting{account="gauged"}`, nil)
	stop := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if gauge.Get() != 1 {
				t.Errorf("%g jobs wait, not 1", gauge.Get())
				return
			}
		}
	})
	for range 3000 {
		h.advance(1000)
	}
	close(stop)
	reader.Wait()
}
