// Package record holds the commands of the replicated log and their results
// as plain structs; wire/codec turns them into bytes and back.
package record
