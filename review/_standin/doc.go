// Standin runs one case of the review: it starts the project's programs as
// separate processes on loopback addresses, stands in for the platform, the
// runners, the operator and the clients, and checks one rule.
package main
