// Package acct is the leader's view of the client accounts: whose key a caller presents, what each account has running, and
// what it may still start. It is derived from the configuration and the replicated state, and is used on the control loop only.
package acct
