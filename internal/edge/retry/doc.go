// Package retry limits the retries of each service to a share of its traffic,
// so that retries don't amplify an overload.
package retry
