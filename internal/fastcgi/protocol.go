// Package fastcgi reads and writes the records of FastCGI 1.0 for the role Responder: the server's end of a connection
// from a router.
//
// It owns the state of one connection's records: which requests are open and what has come of each. It does no I/O and
// holds no clock; Parser.Feed takes bytes in any split and calls a Handler for what is complete. It must never decide
// what is answered. Nothing here is safe for concurrent use: the event loop that owns a connection owns its Parser.
//
// Names and numbers are those of the FastCGI Specification, 1.0 (29 April 1996).
package fastcgi

import "errors"

// version and headerSize are of FCGI_VERSION_1, section 3.3.
const (
	version    = 1
	headerSize = 8
)

// Record types, section 8. Those that only a web server reads (STDERR, DATA) are passed over.
const (
	typeBeginRequest    = 1
	typeAbortRequest    = 2
	typeEndRequest      = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeStderr          = 7
	typeData            = 8
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknownType     = 11
)

// Fields of BEGIN_REQUEST, section 5.1.
const (
	beginRequestSize   = 8
	roleResponder      = 1
	flagKeepConnection = 1
)

// multiplexes is the name under which a router asks whether requests may share a connection, section 4.1.
const multiplexes = "FCGI_MPXS_CONNS"

// Protocol statuses of END_REQUEST, section 5.5.
const (
	StatusRequestComplete = 0 // answered, or aborted
	StatusOverloaded      = 2 // rejected: there are no buffers for it
	StatusUnknownRole     = 3 // rejected: it is not for a Responder
)

// Bounds that keep one connection from taking the process's memory.
const (
	// MaxOpenRequests is how many requests may be open on one connection.
	MaxOpenRequests = 32

	// maxControlContent bounds, in bytes, the content of records that are kept until they are complete: begin, abort
	// and management records.
	maxControlContent = 1024
)

// Errors of Parser.Feed. After any of them the connection can't be read on and must be closed.
var (
	ErrVersion         = errors.New("record of another version")
	ErrRecordOrder     = errors.New("record out of order")
	ErrLength          = errors.New("record or parameters beyond the bounds")
	ErrDuplicateID     = errors.New("request id is open already")
	ErrTooManyRequests = errors.New("too many open requests")
)
