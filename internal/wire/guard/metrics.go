package guard

import (
	"fmt"
	"math"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/budget"
)

// connBytes is the memory of a connection that sends a header of the largest size: 16 KiB of header, buffers of 8 KiB, and a
// goroutine's stack.
const connBytes = 32 << 10

// connMemoryShare is the inverse of the share of the memory that connections may take.
const connMemoryShare = 4

// AvailableConnections returns how many connections a process may accept, by its memory and by its limit on descriptors, of
// which some are reserved for other things.
func AvailableConnections(memoryBytes int64, reserved int) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit on descriptors")
	}
	descriptors := int(min(limit.Cur, math.MaxInt32)) - reserved
	return max(1, min(descriptors, int(memoryBytes/connMemoryShare/connBytes))), nil
}

// Register exports the gauges of a process: the bytes held for bodies, and the connections of each guard.
func Register(b *budget.Budget, guards ...*Guard) {
	for _, c := range budget.Classes() {
		metrics.GetOrCreateGauge(fmt.Sprintf("cowslip_body_bytes{class=%q}", c), func() float64 {
			bytes, _ := b.Used(c)
			return float64(bytes)
		})
	}
	for _, g := range guards {
		metrics.GetOrCreateGauge(fmt.Sprintf("cowslip_connections_open{listener=%q}", g.options.Name), func() float64 { return float64(g.Count()) })
	}
}
