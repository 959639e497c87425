// Package sysclock implements port.Clock with the clocks of the operating system.
package sysclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Clock reads CLOCK_BOOTTIME, which advances while the VM is suspended, so that a
// lease also expires during a suspension. The zero value is ready for use and safe
// for concurrent use.
type Clock struct{}

var _ port.Clock = Clock{}

// Now returns the time since boot. It panics if the kernel has no
// CLOCK_BOOTTIME, since leases are not safe without it.
func (Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("sysclock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall returns the wall-clock time.
func (Clock) Wall() time.Time { return time.Now() }
