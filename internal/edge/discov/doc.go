// Package discov receives the announcements that endpoints post over HTTP.
package discov
