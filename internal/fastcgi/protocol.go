// Package fastcgi parses and encodes the records of FastCGI 1.0 for the role Responder, which is the server's side of a
// connection from a router.
//
// A Parser holds the state of one connection: which requests are open, and what has been received of each. The package
// does no I/O and reads no clock: Parser.Feed accepts bytes that are split anywhere and calls a Handler for each
// complete request. The package must not decide how a request is answered. Nothing here is safe for concurrent use: the
// event loop that owns a connection owns its Parser.
//
// Names and numbers are those of the FastCGI Specification, version 1.0 (29 April 1996).
package fastcgi

import "errors"

// The protocol version FCGI_VERSION_1 and the size of a record header in bytes, see section 3.3 of the specification.
const (
	protocolVersion = 1
	headerSize      = 8
)

// Record types, see section 8 of the specification.
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

// Size in bytes and field values of the content of a BEGIN_REQUEST record, see section 5.1 of the specification.
const (
	beginRequestSize   = 8
	roleResponder      = 1
	flagKeepConnection = 1
)

// multiplexingVariable is the name of the variable by which a router asks whether concurrent requests may share a
// connection, see section 4.1 of the specification.
const multiplexingVariable = "FCGI_MPXS_CONNS"

// Protocol statuses of an END_REQUEST record, see section 5.5 of the specification.
const (
	StatusRequestComplete = 0 // the request was answered or aborted
	StatusOverloaded      = 2 // the request was rejected because no buffers are available
	StatusUnknownRole     = 3 // the request was rejected because its role is not Responder
)

// Bounds that keep one connection from exhausting the memory of the process.
const (
	// MaxOpenRequests is the maximum number of open requests on one connection.
	MaxOpenRequests = 32

	// maxControlContentBytes is the maximum content length of the records that the parser stores until they are
	// complete: begin, abort and management records.
	maxControlContentBytes = 1024
)

// Errors of Parser.Feed. After any of them the rest of the input cannot be parsed, and the connection must be closed.
var (
	ErrUnsupportedVersion = errors.New("unsupported FastCGI version")
	ErrRecordOrder        = errors.New("parameter or body record out of order")
	ErrInvalidLength      = errors.New("invalid length of a record or of parameters")
	ErrDuplicateID        = errors.New("request ID is already in use")
	ErrTooManyRequests    = errors.New("too many open requests on one connection")
)
