// Package place puts jobs on workers: sizes learned from use, quotas with
// borrowing and give-back, and urgent jobs in the place of what can wait.
package place
