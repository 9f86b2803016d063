package guard

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Arrivals tells of requests what their handlers can't see: a process that stood still reads a request long after it came.
type Arrivals struct{}

// Waited returns how long the last bytes of a request have lain unread, by its context; 0 if the kernel doesn't tell.
func (Arrivals) Waited(ctx context.Context) time.Duration {
	info := infoOf(ctx)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// CallerGone reports whether the caller of a request has closed its connection, by the request's context. The server itself notices
// that only some time after it has read the request.
func (Arrivals) CallerGone(ctx context.Context) bool {
	info := infoOf(ctx)
	return info != nil && info.State != 0 && info.State != unix.BPF_TCP_ESTABLISHED
}

// infoOf returns what the kernel tells of the connection of a request; nil if nothing.
func infoOf(ctx context.Context) *unix.TCPInfo {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	err = raw.Control(func(descriptor uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO) // Without it nothing is known.
	})
	if err != nil {
		return nil
	}
	return info
}
