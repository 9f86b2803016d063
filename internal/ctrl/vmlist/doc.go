// Package vmlist keeps what whole reads of the platform's VM list have shown. It
// decides when a list that doesn't hold a VM shows that the VM is gone: only the
// rows of a read that began after the question came up, and that was read to its
// end, can tell.
package vmlist
