package fastcgi

import (
	"encoding/binary"
	"slices"
)

// Handler receives the requests of a connection and provides buffers for them. A Parser calls its methods from
// Parser.Feed, Parser.Finish and Parser.Abandon; they must not call Feed of the same Parser.
type Handler interface {
	// HandleRequest is called when a request has been received in full. The request stays open until Parser.Finish.
	HandleRequest(request *Request)

	// HandleBodyTooLong is called as soon as a body exceeds the capacity of its buffer. After Parser.Finish, the parser
	// ignores the rest of the request.
	HandleBodyTooLong(request *Request)

	// HandleAbort is called when the router aborts a request. The request stays open until Parser.Finish.
	HandleAbort(request *Request)

	// Send sends records to the router that the parser itself replies with.
	Send(records []byte)

	// HasCapacity reports whether buffers are available for another request.
	HasCapacity() bool

	// AcquireBuffer returns an empty buffer for the parameters or the body of a request.
	AcquireBuffer() []byte

	// GrowBuffer returns a buffer with the same content and a capacity of at least size bytes in place of the given
	// one, or the given buffer unchanged if size exceeds the limit on parameters and bodies.
	GrowBuffer(buffer []byte, size int) []byte

	// ReleaseBuffer returns a buffer that AcquireBuffer or GrowBuffer handed out.
	ReleaseBuffer(buffer []byte)
}

// Parser parses the bytes of one connection into requests. The zero value is ready for the first byte.
type Parser struct {
	requests       []*Request // open requests
	header         [headerSize]byte
	headerBytes    int    // received bytes of the current record's header; headerSize until the record has ended
	contentLeft    int    // bytes of the current record's content that have not been received yet
	paddingLeft    int    // bytes of the current record's padding that have not been received yet
	controlContent []byte // content received so far of a begin, abort or management record
	isAbandoned    bool   // the connection was lost, possibly by a call of the Handler
}

// OpenRequests returns the number of open requests.
func (p *Parser) OpenRequests() int { return len(p.requests) }

// Idle reports whether no record is partially received and no request is open.
func (p *Parser) Idle() bool { return p.headerBytes == 0 && len(p.requests) == 0 }

// HasIncomplete reports whether a record or a request is partially received.
func (p *Parser) HasIncomplete() bool {
	return p.headerBytes > 0 || slices.ContainsFunc(p.requests, (*Request).isIncomplete)
}

// IncompleteRequests returns the open requests that have not been received in full.
func (p *Parser) IncompleteRequests() (incomplete []*Request) {
	for _, request := range p.requests {
		if request.isIncomplete() {
			incomplete = append(incomplete, request)
		}
	}
	return incomplete
}

// HasComplete reports whether an open request has been received in full.
func (p *Parser) HasComplete() bool {
	return slices.ContainsFunc(p.requests, func(request *Request) bool { return !request.isIncomplete() })
}

// LargestIncomplete returns the open request that holds the most buffer memory of those that have not been received in
// full, or nil if none of them holds any.
func (p *Parser) LargestIncomplete() (largest *Request) {
	largestBytes := 0
	for _, request := range p.requests {
		if held := request.bufferBytes(); request.isIncomplete() && held > largestBytes {
			largest = request
			largestBytes = held
		}
	}
	return largest
}

func (r *Request) isIncomplete() bool { return r.state != stateComplete }

// bufferBytes returns the size of the buffers that the request holds, in bytes.
func (r *Request) bufferBytes() int { return cap(r.params) + cap(r.Body) }

// Finish closes a request that has been answered, so that its ID may be used again, and releases the buffers that it
// still holds.
func (p *Parser) Finish(request *Request, handler Handler) {
	if i := slices.Index(p.requests, request); i >= 0 {
		last := len(p.requests) - 1
		p.requests[i] = p.requests[last]
		p.requests[last] = nil
		p.requests = p.requests[:last]
	}
	request.releaseBuffers(handler)
}

// Abandon closes all open requests because the connection was lost. It calls visit for every open request before it
// releases the buffers of that request.
func (p *Parser) Abandon(handler Handler, visit func(*Request)) {
	for _, request := range p.requests {
		visit(request)
		request.releaseBuffers(handler)
	}
	p.requests = nil
	p.isAbandoned = true
}

// ForEachOpen calls visit for every open request.
func (p *Parser) ForEachOpen(visit func(*Request)) {
	for _, request := range p.requests {
		visit(request)
	}
}

// releaseBuffers releases the buffers that the request still holds.
func (r *Request) releaseBuffers(handler Handler) {
	if r.params != nil {
		handler.ReleaseBuffer(r.params)
		r.params = nil
	}
	if r.Body != nil {
		handler.ReleaseBuffer(r.Body)
		r.Body = nil
	}
}

// Feed parses the next bytes of the connection, which may be split anywhere. After an error (see ErrUnsupportedVersion
// and the variables after it) the connection must be closed. It ignores the rest of data if the handler calls Abandon.
func (p *Parser) Feed(data []byte, handler Handler) error {
	for len(data) > 0 && !p.isAbandoned {
		var err error
		if p.headerBytes < headerSize {
			data, err = p.feedHeader(data, handler)
			if err != nil {
				return err
			}
			if p.headerBytes < headerSize {
				return nil
			}
		}
		data, err = p.feedContent(data, handler)
		if err != nil {
			return err
		}
		data = p.skipPadding(data)
	}
	return nil
}

// feedHeader consumes bytes of a record's header and returns the rest of data.
func (p *Parser) feedHeader(data []byte, handler Handler) ([]byte, error) {
	consumed := copy(p.header[p.headerBytes:], data)
	p.headerBytes += consumed
	if p.headerBytes < headerSize {
		return nil, nil
	}
	p.contentLeft = p.contentLength()
	p.paddingLeft = int(p.header[6])
	p.controlContent = p.controlContent[:0]
	if err := p.beginRecord(); err != nil {
		return nil, err
	}
	if p.contentLeft == 0 {
		if err := p.endRecord(handler); err != nil {
			return nil, err
		}
	}
	return data[consumed:], nil
}

// feedContent consumes bytes of a record's content and returns the rest of data.
func (p *Parser) feedContent(data []byte, handler Handler) ([]byte, error) {
	consumed := min(p.contentLeft, len(data))
	if consumed == 0 {
		return data, nil
	}
	if err := p.storeContent(data[:consumed], handler); err != nil {
		return nil, err
	}
	p.contentLeft -= consumed
	if p.contentLeft == 0 {
		if err := p.endRecord(handler); err != nil {
			return nil, err
		}
	}
	return data[consumed:], nil
}

// skipPadding discards bytes of a record's padding and returns the rest of data. After the last byte of the padding,
// the parser expects the next header.
func (p *Parser) skipPadding(data []byte) []byte {
	if p.contentLeft > 0 {
		return data
	}
	skipped := min(p.paddingLeft, len(data))
	p.paddingLeft -= skipped
	if p.paddingLeft == 0 {
		p.headerBytes = 0
	}
	return data[skipped:]
}

// recordType, requestID and contentLength return fields of the current record's header. They are valid only once the
// header is complete. contentLength is the length of the record's content in bytes, without padding.
func (p *Parser) recordType() byte   { return p.header[1] }
func (p *Parser) requestID() uint16  { return binary.BigEndian.Uint16(p.header[2:]) }
func (p *Parser) contentLength() int { return int(binary.BigEndian.Uint16(p.header[4:])) }

// request returns the open request that the current record belongs to, or nil if there is none.
func (p *Parser) request() *Request {
	for _, request := range p.requests {
		if request.ID == p.requestID() {
			return request
		}
	}
	return nil
}

// beginRecord validates the header of a record, once the header is complete.
func (p *Parser) beginRecord() error {
	if p.header[0] != protocolVersion {
		return ErrUnsupportedVersion
	}
	isParams := p.recordType() == typeParams
	isStdin := p.recordType() == typeStdin
	isStream := p.requestID() != 0 && (isParams || isStdin)
	if !isStream && p.contentLeft > maxControlContentBytes {
		return ErrInvalidLength
	}
	request := p.request()
	if request == nil {
		return nil
	}
	if isParams && request.state != stateParams || isStdin && request.state != stateBody {
		return ErrRecordOrder
	}
	return nil
}

// storeContent stores a part of a record's content where it belongs, or discards it.
func (p *Parser) storeContent(data []byte, handler Handler) error {
	recordType := p.recordType()
	if p.requestID() == 0 || recordType == typeBeginRequest || recordType == typeAbortRequest {
		p.controlContent = append(p.controlContent, data...)
		return nil
	}
	request := p.request()
	if request == nil { // the specification says to ignore records of inactive requests
		return nil
	}
	switch recordType {
	case typeParams:
		return request.appendParams(data, handler)
	case typeStdin:
		request.appendBody(data, handler)
	}
	return nil
}

// appendParams stores a part of the stream of parameters. It returns ErrInvalidLength if they become too long.
func (r *Request) appendParams(data []byte, handler Handler) error {
	r.params = reserve(r.params, len(data), handler)
	if len(data) > cap(r.params)-len(r.params) {
		return ErrInvalidLength
	}
	r.params = append(r.params, data...)
	return nil
}

// appendBody stores a part of the body. If the body becomes too long, it calls the handler at once and not only after
// the last byte of the body.
func (r *Request) appendBody(data []byte, handler Handler) {
	r.Body = reserve(r.Body, len(data), handler)
	if len(data) > cap(r.Body)-len(r.Body) {
		handler.HandleBodyTooLong(r)
		return
	}
	r.Body = append(r.Body, data...)
}

// reserve returns a buffer with the content of the given one, which may be nil, and room for more bytes after it,
// unless that would exceed the handler's limit.
func reserve(buffer []byte, more int, handler Handler) []byte {
	if buffer == nil {
		buffer = handler.AcquireBuffer()
	}
	if size := len(buffer) + more; size > cap(buffer) {
		buffer = handler.GrowBuffer(buffer, size)
	}
	return buffer
}

// endRecord processes a record whose content is complete.
func (p *Parser) endRecord(handler Handler) error {
	if p.requestID() == 0 {
		return p.handleManagementRecord(handler)
	}
	request := p.request()
	switch p.recordType() {
	case typeBeginRequest:
		return p.openRequest(request != nil, handler)
	case typeAbortRequest:
		if request != nil {
			handler.HandleAbort(request)
		}
	case typeParams:
		if request != nil && p.contentLength() == 0 {
			return request.endParams()
		}
	case typeStdin:
		if request != nil && p.contentLength() == 0 {
			request.endBody(handler)
		}
	case typeEndRequest, typeStdout, typeStderr, typeData:
		// Only a web server receives END_REQUEST, STDOUT and STDERR, and a Responder does not use DATA.
	default:
		handler.Send(unknownTypeRecord(p.recordType()))
	}
	return nil
}

// openRequest opens a request, or rejects it. The parser ignores the later records of a rejected request, because it is
// not open. isOpen reports whether a request with the same ID is open already.
func (p *Parser) openRequest(isOpen bool, handler Handler) error {
	switch {
	case p.contentLength() != beginRequestSize:
		return ErrInvalidLength
	case isOpen:
		return ErrDuplicateID
	case binary.BigEndian.Uint16(p.controlContent) != roleResponder:
		handler.Send(AppendEndRequest(nil, p.requestID(), StatusUnknownRole))
		return nil
	case len(p.requests) >= MaxOpenRequests:
		return ErrTooManyRequests
	case !handler.HasCapacity():
		handler.Send(AppendEndRequest(nil, p.requestID(), StatusOverloaded))
		return nil
	}
	p.requests = append(p.requests, &Request{
		ID:             p.requestID(),
		KeepConnection: p.controlContent[2]&flagKeepConnection != 0,
	})
	return nil
}

// endParams validates the parameters once their stream has ended. Param and Params rely on valid parameters.
func (r *Request) endParams() error {
	if err := forEachPair(r.params, func(_, _ []byte) {}); err != nil {
		return ErrInvalidLength
	}
	r.state = stateBody
	return nil
}

// endBody passes the complete request to the handler and releases the buffer of the parameters.
func (r *Request) endBody(handler Handler) {
	r.state = stateComplete
	handler.HandleRequest(r)
	if r.params != nil {
		handler.ReleaseBuffer(r.params)
		r.params = nil
	}
}

// handleManagementRecord replies to a management record, which belongs to the connection and not to a request. Of the
// values that a router may ask for, it returns only FCGI_MPXS_CONNS: the server decides for each request whether it
// accepts it, so it has no fixed maximum of connections or requests to return.
func (p *Parser) handleManagementRecord(handler Handler) error {
	if p.recordType() != typeGetValues {
		handler.Send(unknownTypeRecord(p.recordType()))
		return nil
	}
	var values []byte
	err := forEachPair(p.controlContent, func(name, _ []byte) {
		if string(name) == multiplexingVariable {
			values = appendPair(values, name, "1")
		}
	})
	if err != nil {
		return ErrInvalidLength
	}
	handler.Send(append(appendHeader(nil, typeGetValuesResult, 0, len(values)), values...))
	return nil
}
