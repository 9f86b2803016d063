// Package enrol takes the announcements that endpoints make over HTTP.
package enrol
