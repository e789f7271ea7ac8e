//go:build wasip1

package pluginsdk

//go:wasmimport thistlequay log
func hostLog(pointer, length uint32)

//go:wasmimport thistlequay count
func hostCount(pointer, length uint32, by int64)

//go:wasmimport thistlequay get
func hostGet(key, keyLength, buffer, capacity uint32) int32

//go:wasmimport thistlequay put
func hostPut(key, keyLength, value, valueLength uint32) int32

//go:wasmimport thistlequay now
func hostNow() int64

//go:wasmimport thistlequay chance
func hostRandom() int64

// maxValueSize is the size in bytes of the largest value that the host stores.
const maxValueSize = 4 << 10

// Log writes a line to the server's log. A line longer than 256 bytes is truncated. Beyond 20 lines a second, lines are
// suppressed.
func Log(line string) { hostLog(addressOf([]byte(line)), uint32(len(line))) }

// Count adds by to the named counter of the plug-in. A plug-in has at most 32 counters, whose names have at most 32
// bytes.
func Count(name string, by int64) { hostCount(addressOf([]byte(name)), uint32(len(name)), by) }

// Get returns the value that the plug-in stored under a key. It returns false if there is none.
func Get(key string) ([]byte, bool) {
	buffer := make([]byte, maxValueSize)
	length := hostGet(addressOf([]byte(key)), uint32(len(key)), addressOf(buffer), uint32(len(buffer)))
	if length < 0 || int(length) > len(buffer) {
		return nil, false
	}
	return buffer[:length], true
}

// Put stores a value of at most 4 KiB under a key of at most 128 bytes; an empty value deletes the key. It returns
// false if a limit is exceeded. Stored values are visible to other instances, and are passed to the next process and,
// if so configured, to the next version of the plug-in.
func Put(key string, value []byte) bool {
	// One extra byte of capacity ensures that even an empty value has an address.
	buffer := append(make([]byte, 0, len(value)+1), value...)
	return hostPut(addressOf([]byte(key)), uint32(len(key)), addressOf(buffer), uint32(len(buffer))) == 0
}

// Now returns the current time in milliseconds since 1970.
func Now() int64 { return hostNow() }

// Random returns a non-negative random number. The sequence depends only on the plug-in's name.
func Random() int64 { return hostRandom() }
