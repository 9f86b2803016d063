// Package dial holds the clients of the system's other processes and of the
// platform. HTTP/2 pings and deadlines on every peer connection detect a network
// cut that leaves the connection open.
package dial
