package cell

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections to the platform and its workers.
const (
	PlatformDialTimeout    = 900 * time.Millisecond // a lost opening packet and a round trip between regions
	PlatformUnackedTimeout = 2 * time.Second        // shorter than any lease
	keepAliveInterval      = 5 * time.Second
)

// NewDialer returns a dialer whose connections are given up by the kernel when bytes stay
// unacknowledged for longer than the given silence: connections to machines that have
// lost power, or lie behind a partition, never end by themselves.
func NewDialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: keepAliveInterval, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		}); err != nil {
			return err
		}
		return failed
	}}
}
