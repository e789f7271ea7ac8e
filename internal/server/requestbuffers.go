package server

const (
	// minRequestBufferBytes is the size of a new buffer. The parameters of most requests fit into it.
	minRequestBufferBytes = 1 << 10

	// requestBufferSizes is the number of sizes, each twice the one before.
	requestBufferSizes = 4

	// maxRequestBufferBytes is the limit on the parameters and on the body of a request while it is being received.
	maxRequestBufferBytes = minRequestBufferBytes << (requestBufferSizes - 1)

	// maxFreeRequestBytes is the memory, in bytes, of the free buffers of one size that are kept for reuse.
	maxFreeRequestBytes = 256 << 10

	// guaranteedBytesPerRouter is the memory, in bytes, that every connection can use for incomplete requests whatever
	// other connections hold. A request of ordinary length fits into it.
	guaranteedBytesPerRouter = 4 << 10
)

// requestBuffers hands out the buffers of requests that are being received. Their total size has a limit, which the
// largest incomplete requests make room for; see routerTable.releaseRequestMemory.
type requestBuffers struct {
	free       [requestBufferSizes][][]byte // by size, the smallest first
	inUseBytes int
	maxBytes   int
}

// setLimit sets the limit on the total size for a process whose memory limit is memoryBytes and that has at most
// maxRouters router connections.
func (p *requestBuffers) setLimit(memoryBytes, maxRouters int) {
	p.maxBytes = max(connectionMemory(memoryBytes), maxRouters*guaranteedBytesPerRouter)
}

// isOverLimit reports whether the buffers in use exceed the limit.
func (p *requestBuffers) isOverLimit() bool { return p.inUseBytes > p.maxBytes }

// get returns an empty buffer of the smallest size that holds the given number of bytes, which is at most
// maxRequestBufferBytes.
func (p *requestBuffers) get(bytes int) []byte {
	index := requestBufferIndex(bytes)
	size := minRequestBufferBytes << index
	p.inUseBytes += size
	free := p.free[index]
	last := len(free) - 1
	if last < 0 {
		return make([]byte, 0, size)
	}
	p.free[index] = free[:last]
	return free[last]
}

// put takes back a buffer that get returned.
func (p *requestBuffers) put(buffer []byte) {
	size := cap(buffer)
	p.inUseBytes -= size
	index := requestBufferIndex(size)
	if len(p.free[index]) < maxFreeRequestBytes/size {
		p.free[index] = append(p.free[index], buffer[:0])
	}
}

// grow replaces a buffer by one with the same content and room for the given number of bytes. It returns the buffer
// itself if that exceeds maxRequestBufferBytes.
func (p *requestBuffers) grow(buffer []byte, bytes int) []byte {
	if bytes > maxRequestBufferBytes {
		return buffer
	}
	grown := append(p.get(bytes), buffer...)
	p.put(buffer)
	return grown
}

// requestBufferIndex returns the index in requestBuffers.free of the smallest size that holds the given number of
// bytes.
func requestBufferIndex(bytes int) int {
	index := 0
	for minRequestBufferBytes<<index < bytes {
		index++
	}
	return index
}
