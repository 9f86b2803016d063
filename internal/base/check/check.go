package check

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Handler is told of a breached invariant: its name and the context of the breach.
type Handler func(name string, fields []zap.Field)

var handler atomic.Pointer[Handler]

// SetHandler replaces what is done on a breach beyond counting it; tests set one that fails.
func SetHandler(h Handler) {
	handler.Store(&h)
}

// That counts and reports a breach of the named invariant where ok is false; it returns ok.
func That(ok bool, name string, fields ...zap.Field) bool {
	if ok {
		return true
	}
	metrics.GetOrCreateCounter(`cowslip_invariant_breaches_total{invariant="` + name + `"}`).Inc()
	if h := handler.Load(); h != nil {
		(*h)(name, fields)
		return false
	}
	panic("invariant breached before a handler was set: " + name)
}

// LogHandler returns a handler that writes breaches to a log.
func LogHandler(logger *zap.Logger) Handler {
	return func(name string, fields []zap.Field) {
		logger.Error("invariant_breached", append(fields, zap.String("invariant", name), zap.Stack("stack"))...)
	}
}
