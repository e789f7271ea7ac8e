package fastcgi

// Request is one open request of a connection.
type Request struct {
	ID             uint16 // chosen by the router, unique among the open requests of the connection
	KeepConnection bool   // whether the router wants the connection to stay open after the response

	// Body is the part of the body that has been received, in a buffer from Handler.AcquireBuffer. Code that takes over
	// or releases the buffer must set Body to nil. Otherwise the buffer is released when the request is finished.
	Body []byte

	// Owner and Overdue are for the use of the Handler; the Parser neither reads nor sets them.
	Owner   any
	Overdue bool

	params []byte // encoded name-value pairs, in a buffer from Handler.AcquireBuffer
	state  requestState
}

// requestState is the stream of a request that is being received.
type requestState int

const (
	stateParams   requestState = iota // the parameters are being received
	stateBody                         // the body is being received
	stateComplete                     // both streams have ended
)

// Param returns the value of a parameter, or nil if the request does not have it. If the parameter is repeated, the
// last value counts. The value is valid until Handler.HandleRequest returns.
func (r *Request) Param(name string) (value []byte) {
	// endParams has validated the pairs, so forEachPair cannot fail here.
	_ = forEachPair(r.params, func(pairName, pairValue []byte) {
		if string(pairName) == name {
			value = pairValue
		}
	})
	return value
}

// Params stores the value of each named parameter at the same index of values, and leaves values unchanged at the index
// of a parameter that the request does not have. It reports whether any of the named parameters is repeated; the last
// value counts. The values are valid until Handler.HandleRequest returns.
func (r *Request) Params(names []string, values [][]byte) (hasRepeated bool) {
	_ = forEachPair(r.params, func(pairName, pairValue []byte) { // cannot fail, as in Param
		for i, name := range names {
			if string(pairName) == name {
				hasRepeated = hasRepeated || values[i] != nil
				values[i] = pairValue
			}
		}
	})
	return hasRepeated
}
