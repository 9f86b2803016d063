// Package proxy forwards calls that arrive at any process to the leader: in
// process if it leads itself, else over a keep-alive connection. For a failed
// call it reports whether the call was certainly not run or may have run.
package proxy
