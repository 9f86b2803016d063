// Package retry bounds retries to a share of the traffic of each service, so
// that they can't feed an overload.
package retry
