// Package eject implements outlier ejection: it decides which runners of a
// service are ejected because they fail or are slower than the others, and when
// they are probed again. It reads no clock and no random source of its own.
package eject
