// Package hist names metrics with labels, and records durations in histograms by service, team and class.
package hist
