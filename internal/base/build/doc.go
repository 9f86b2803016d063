// Package build names the build of the running program, for its log and its metrics.
package build
