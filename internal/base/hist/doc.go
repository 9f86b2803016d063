// Package hist records durations in histograms by service, team and class.
package hist
