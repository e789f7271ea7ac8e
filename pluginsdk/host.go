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

// maxValueSize is the largest value that the host keeps, in bytes.
const maxValueSize = 4 << 10

// Log writes a line to the server's log: 256 bytes at most, twenty lines a second.
func Log(line string) { hostLog(addressOf([]byte(line)), uint32(len(line))) }

// Count moves a counter of the plug-in. There are 32 counters at most, with names of 32 bytes at most.
func Count(name string, by int64) { hostCount(addressOf([]byte(name)), uint32(len(name)), by) }

// Get returns what the plug-in stored under a key; false if there is nothing.
func Get(key string) ([]byte, bool) {
	buffer := make([]byte, maxValueSize)
	length := hostGet(addressOf([]byte(key)), uint32(len(key)), addressOf(buffer), uint32(len(buffer)))
	if length < 0 || int(length) > len(buffer) {
		return nil, false
	}
	return buffer[:length], true
}

// Put stores a value of 4 KiB at most under a key of 128 bytes at most; an empty value removes the key. It returns
// false if there is no capacity. What is stored passes to other instances, to the next process and, if the
// configuration says so, to the next version of the plug-in.
func Put(key string, value []byte) bool {
	// A byte more of capacity gives an empty value an address.
	buffer := append(make([]byte, 0, len(value)+1), value...)
	return hostPut(addressOf([]byte(key)), uint32(len(key)), addressOf(buffer), uint32(len(buffer))) == 0
}

// Now returns the time in milliseconds since 1970.
func Now() int64 { return hostNow() }

// Random returns a random number of at least 0. The sequence depends on the plug-in's name only.
func Random() int64 { return hostRandom() }
