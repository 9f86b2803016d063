package check

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/base/hist"
)

// Handler is called with the name of a breached invariant and the context of the breach, from any goroutine.
type Handler func(name string, fields []zap.Field)

var handler atomic.Pointer[Handler]

// SetHandler sets what happens on a breach beyond counting it; tests set a handler that fails the test.
func SetHandler(h Handler) {
	handler.Store(&h)
}

// That returns ok. If ok is false, it counts a breach of the named invariant and calls the handler, or panics if none
// is set.
func That(ok bool, name string, fields ...zap.Field) bool {
	if ok {
		return true
	}
	metrics.GetOrCreateCounter(hist.Series("cowslip_invariant_breaches_total", hist.Label{Name: "invariant", Value: name})).Inc()
	if h := handler.Load(); h != nil {
		(*h)(name, fields)
		return false
	}
	panic("invariant breached before a handler was set: " + name)
}

// LogHandler returns a handler that logs breaches as errors, with a stack trace.
func LogHandler(logger *zap.Logger) Handler {
	return func(name string, fields []zap.Field) {
		logger.Error("invariant_breached", append(fields, zap.String("invariant", name), zap.Stack("stack"))...)
	}
}
