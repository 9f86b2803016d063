// Package opcli implements cowslip, the operators' command line: it parses the
// arguments, calls a process's API and prints the answer as text or as JSON.
package opcli
