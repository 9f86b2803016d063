// Package bound implements cowslipbound, which reads the log of a day and compares what each job got with the reference
// bound of package plan/bound. It is a command of its own beside the tests: the operators' command line asks running
// processes, and this one only reads files.
package bound
