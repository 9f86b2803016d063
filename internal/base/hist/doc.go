// Package hist keeps histograms by service, team and class.
package hist
