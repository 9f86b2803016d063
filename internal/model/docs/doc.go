// Package docs holds the environment document: its generated types, its
// checks and its digest.
package docs
