// Package proxy takes calls at any process to the one that leads: at once
// where it is this one, over a kept connection otherwise. It tells what has
// surely not run from what may have.
package proxy
