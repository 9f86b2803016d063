// Package script holds the scripted tests that run the three programs as
// processes. The scripts are the txtar files under testdata.
package script
