package fastcgi

import (
	"encoding/binary"
	"slices"
)

// Handler is what a Parser calls. Its methods run inside Parser.Feed, Parser.Finish or Parser.Abandon and must not feed
// the same Parser.
type Handler interface {
	// HandleRequest takes a request that is complete. The request stays open until Parser.Finish.
	HandleRequest(request *Request)

	// HandleBodyTooLong is called as soon as a body outgrows its buffer. What still comes of the request is passed over
	// once it is finished.
	HandleBodyTooLong(request *Request)

	// HandleAbort is called when the router no longer waits for a request, which stays open until Parser.Finish.
	HandleAbort(request *Request)

	// Send takes records that are owed to the router at once.
	Send(records []byte)

	// HasCapacity reports whether there are buffers for another request.
	HasCapacity() bool

	// AcquireBuffer returns an empty buffer; its capacity bounds the parameters or the body that go into it.
	AcquireBuffer() []byte

	// ReleaseBuffer takes back a buffer from AcquireBuffer.
	ReleaseBuffer(buffer []byte)
}

// Parser takes the bytes of one connection. The zero value is ready for the first of them.
type Parser struct {
	requests       []*Request // that are open
	header         [headerSize]byte
	headerBytes    int    // that have come of the record's header; headerSize until the record has ended
	contentLeft    int    // bytes of the record's content that are still to come
	paddingLeft    int    // bytes of its padding
	controlContent []byte // content of a begin, abort or management record, which is kept until it is complete
}

// OpenRequests returns how many requests are open.
func (p *Parser) OpenRequests() int { return len(p.requests) }

// Idle reports whether the last byte fed ended a record and no request is open.
func (p *Parser) Idle() bool { return p.headerBytes == 0 && len(p.requests) == 0 }

// HasIncomplete reports whether a record or a request has begun and is not complete.
func (p *Parser) HasIncomplete() bool {
	return p.headerBytes > 0 || slices.ContainsFunc(p.requests, (*Request).isIncomplete)
}

// IncompleteRequests returns the open requests that are not complete.
func (p *Parser) IncompleteRequests() (incomplete []*Request) {
	for _, request := range p.requests {
		if request.isIncomplete() {
			incomplete = append(incomplete, request)
		}
	}
	return incomplete
}

func (r *Request) isIncomplete() bool { return r.state != stateComplete }

// Finish closes a request that has been answered, so that its id may be used again. Buffers that are still with it go
// back to the handler.
func (p *Parser) Finish(request *Request, handler Handler) {
	if i := slices.Index(p.requests, request); i >= 0 {
		last := len(p.requests) - 1
		p.requests[i] = p.requests[last]
		p.requests[last] = nil
		p.requests = p.requests[:last]
	}
	request.releaseBuffers(handler)
}

// Abandon closes all open requests because the connection is gone. It calls each for every one of them before its
// buffers go back to the handler.
func (p *Parser) Abandon(handler Handler, each func(*Request)) {
	for _, request := range p.requests {
		each(request)
		request.releaseBuffers(handler)
	}
	p.requests = nil
}

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

// Feed takes the next bytes of the connection, in any split. An error is final: see the Err variables.
func (p *Parser) Feed(data []byte, handler Handler) error {
	for len(data) > 0 {
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

// feedHeader takes bytes of a record's header and returns the others.
func (p *Parser) feedHeader(data []byte, handler Handler) ([]byte, error) {
	taken := copy(p.header[p.headerBytes:], data)
	p.headerBytes += taken
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
	return data[taken:], nil
}

// feedContent takes bytes of a record's content and returns the others.
func (p *Parser) feedContent(data []byte, handler Handler) ([]byte, error) {
	taken := min(p.contentLeft, len(data))
	if taken == 0 {
		return data, nil
	}
	if err := p.takeContent(data[:taken], handler); err != nil {
		return nil, err
	}
	p.contentLeft -= taken
	if p.contentLeft == 0 {
		if err := p.endRecord(handler); err != nil {
			return nil, err
		}
	}
	return data[taken:], nil
}

// skipPadding passes over padding and returns the other bytes. After the last byte of it a new header begins.
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

func (p *Parser) recordType() byte   { return p.header[1] }
func (p *Parser) requestID() uint16  { return binary.BigEndian.Uint16(p.header[2:]) }
func (p *Parser) contentLength() int { return int(binary.BigEndian.Uint16(p.header[4:])) }

// request returns the open request that the record is of, nil where there is none.
func (p *Parser) request() *Request {
	for _, request := range p.requests {
		if request.ID == p.requestID() {
			return request
		}
	}
	return nil
}

// beginRecord checks a header that is complete.
func (p *Parser) beginRecord() error {
	if p.header[0] != version {
		return ErrVersion
	}
	isParams := p.recordType() == typeParams
	isStdin := p.recordType() == typeStdin
	isStream := p.requestID() != 0 && (isParams || isStdin)
	if !isStream && p.contentLeft > maxControlContent {
		return ErrLength
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

// takeContent takes a part of a record's content.
func (p *Parser) takeContent(data []byte, handler Handler) error {
	recordType := p.recordType()
	if p.requestID() == 0 || recordType == typeBeginRequest || recordType == typeAbortRequest {
		p.controlContent = append(p.controlContent, data...)
		return nil
	}
	request := p.request()
	if request == nil { // of no open request: passed over, as the specification has it
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

func (r *Request) appendParams(data []byte, handler Handler) error {
	if r.params == nil {
		r.params = handler.AcquireBuffer()
	}
	if len(r.params)+len(data) > cap(r.params) {
		return ErrLength
	}
	r.params = append(r.params, data...)
	return nil
}

// appendBody tells the handler of a body beyond the buffer now, not when the last byte of it has come.
func (r *Request) appendBody(data []byte, handler Handler) {
	if r.Body == nil {
		r.Body = handler.AcquireBuffer()
	}
	if len(data) > cap(r.Body)-len(r.Body) {
		handler.HandleBodyTooLong(r)
		return
	}
	r.Body = append(r.Body, data...)
}

// endRecord acts on a record whose content is complete.
func (p *Parser) endRecord(handler Handler) error {
	if p.requestID() == 0 {
		return p.handleManagement(handler)
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
		// The first three only a web server reads, and DATA is of no use to a Responder.
	default:
		handler.Send(unknownTypeRecord(p.recordType()))
	}
	return nil
}

// openRequest opens a request, or rejects it and leaves the rest of it to be passed over.
func (p *Parser) openRequest(isOpen bool, handler Handler) error {
	switch {
	case p.contentLength() != beginRequestSize:
		return ErrLength
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

// endParams checks that the parameters can be read, which Param and Params rely on.
func (r *Request) endParams() error {
	if err := forEachPair(r.params, func(_, _ []byte) {}); err != nil {
		return ErrLength
	}
	r.state = stateBody
	return nil
}

func (r *Request) endBody(handler Handler) {
	r.state = stateComplete
	handler.HandleRequest(r)
	if r.params != nil {
		handler.ReleaseBuffer(r.params)
		r.params = nil
	}
}

// handleManagement answers a record of the connection itself. Of the values that a router may ask for only one is
// known: how many connections and requests are taken is decided request by request, so there is no figure for that.
func (p *Parser) handleManagement(handler Handler) error {
	if p.recordType() != typeGetValues {
		handler.Send(unknownTypeRecord(p.recordType()))
		return nil
	}
	var values []byte
	err := forEachPair(p.controlContent, func(name, _ []byte) {
		if string(name) == multiplexes {
			values = appendPair(values, name, "1")
		}
	})
	if err != nil {
		return ErrLength
	}
	handler.Send(append(appendHeader(nil, typeGetValuesResult, 0, len(values)), values...))
	return nil
}
