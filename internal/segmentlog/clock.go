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

// tick is the length of one of timeunit.Ticks.
const tick = 100 * time.Microsecond

// bootIDFile holds a random id that the kernel draws at each start.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// MachineClock reads the clocks of this machine. What can't be read is 0.
func MachineClock() recovery.ClockReading {
	reading := recovery.ClockReading{Wall: timeunit.Ticks(time.Now().UnixMicro() / tick.Microseconds())}
	var sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) == nil {
		reading.Monotonic = timeunit.Ticks(sinceBoot.Nano() / tick.Nanoseconds())
	}
	if id, err := os.ReadFile(bootIDFile); err == nil {
		reading.BootID = xxh3.HashString(strings.TrimSpace(string(id)))
	}
	return reading
}
