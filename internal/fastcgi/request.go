package fastcgi

// Request is one open request of a connection.
type Request struct {
	ID             uint16 // as the router chose it, unique among the open requests of the connection
	KeepConnection bool   // the connection stays open after the answer

	// Body is what has come of the body, in a buffer from Handler.AcquireBuffer. Whoever takes the buffer sets Body to
	// nil, else it is released when the request is finished.
	Body []byte

	// Owner and Overdue belong to the Handler; the Parser never looks at them.
	Owner   any
	Overdue bool

	params []byte // name-value pairs, in a buffer from Handler.AcquireBuffer
	state  requestState
}

// requestState says which of its streams a request is in.
type requestState int

const (
	stateParams   requestState = iota // parameters are coming
	stateBody                         // the body is coming
	stateComplete                     // both have ended
)

// Param returns the value of a parameter, nil if it did not come. If it came twice the last value counts. The value is
// valid until Handler.HandleRequest returns.
func (r *Request) Param(name string) (value []byte) {
	// The pairs were read once when the stream of parameters ended: they can't fail here.
	_ = forEachPair(r.params, func(pairName, pairValue []byte) {
		if string(pairName) == name {
			value = pairValue
		}
	})
	return value
}

// Params puts the value of each named parameter into the same place of values, and leaves the place of one that did not
// come as it is. It reports whether any of them came twice; the last value counts. The values are valid until
// Handler.HandleRequest returns.
func (r *Request) Params(names []string, values [][]byte) (repeated bool) {
	_ = forEachPair(r.params, func(pairName, pairValue []byte) { // can't fail, as in Param
		for i, name := range names {
			if string(pairName) == name {
				repeated = repeated || values[i] != nil
				values[i] = pairValue
			}
		}
	})
	return repeated
}
