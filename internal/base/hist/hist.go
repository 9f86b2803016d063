package hist

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Labels are the labels of a histogram; an empty field becomes "none".
type Labels struct {
	// Service is the name of the service that was called.
	Service string
	// Team is the name of the calling team.
	Team string
	// Class is the class of the request.
	Class string
}

// Observe adds a duration to the named histogram, in seconds. It is safe for concurrent use.
func Observe(name string, l Labels, d time.Duration) {
	metrics.GetOrCreateHistogram(Name(name, l)).Update(d.Seconds())
}

// Name returns the full name of a metric, with its labels.
func Name(name string, l Labels) string {
	return Series(name, Label{"service", orNone(l.Service)}, Label{"team", orNone(l.Team)}, Label{"class", orNone(l.Class)})
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
