package cell

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections to the platform and its workers.
const (
	PlatformDialTimeout    = 900 * time.Millisecond // allows for the loss of one SYN packet and a round trip between regions
	PlatformUnackedTimeout = 2 * time.Second        // shorter than any lease
	keepAliveInterval      = 5 * time.Second
)

// NewDialer returns a dialer whose connections the kernel closes once sent bytes stay unacknowledged
// for longer than unackedTimeout. Connections to VMs that have lost power, or are cut off by a network
// partition, do not end by themselves.
func NewDialer(dialTimeout, unackedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, Control: func(_, _ string, rawConn syscall.RawConn) error {
		var sockoptErr error
		if err := rawConn.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return sockoptErr
	}}
}
