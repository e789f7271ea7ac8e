package segmentlog

import (
	"os"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sys/unix"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// bootIDFile contains a random id that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// MachineClock reads the clocks of this machine. A value that cannot be read is 0.
func MachineClock() recovery.ClockReading {
	reading := recovery.ClockReading{Wall: timeunit.UnixTicks(time.Now())}
	var sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) == nil {
		reading.Monotonic = timeunit.TicksOf(time.Duration(sinceBoot.Nano()))
	}
	if id, err := os.ReadFile(bootIDFile); err == nil {
		reading.BootID = xxh3.HashString(strings.TrimSpace(string(id)))
	}
	return reading
}
