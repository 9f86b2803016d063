// Package script holds the scripted tests that run the three programs as
// processes; the scripts are the files under testdata.
package script
