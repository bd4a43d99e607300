// Package bootclock reads the clock that counts time while the VM is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including suspended time
// (CLOCK_BOOTTIME). Leases are measured on this clock, because a monotonic clock
// that stops during suspension would let an expired lease look valid.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
