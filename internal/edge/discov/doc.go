// Package discov takes the announcements that endpoints make over HTTP.
package discov
