package fastcgi

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordingHandler is a Handler that records its calls as text. If finishesRequests is set, it finishes a request as
// soon as it is complete.
type recordingHandler struct {
	calls            []string
	parser           Parser
	finishesRequests bool
	isFull           bool // HasCapacity returns false
}

func (h *recordingHandler) recordCall(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *recordingHandler) HandleRequest(request *Request) {
	h.recordCall("request %d keep=%v path=%s body=%d:%x", request.ID, request.KeepConnection,
		request.Param("SCRIPT_NAME"), len(request.Body), request.Body[:min(4, len(request.Body))])
	if h.finishesRequests {
		h.parser.Finish(request, h)
	}
}

func (h *recordingHandler) HandleBodyTooLong(request *Request) {
	h.recordCall("body too long %d", request.ID)
	h.parser.Finish(request, h)
}

func (h *recordingHandler) HandleAbort(request *Request) { h.recordCall("aborted %d", request.ID) }
func (h *recordingHandler) Send(records []byte)          { h.recordCall("sent %x", records) }
func (h *recordingHandler) HasCapacity() bool            { return !h.isFull }
func (h *recordingHandler) AcquireBuffer() []byte        { return make([]byte, 0, 4096) }
func (h *recordingHandler) ReleaseBuffer([]byte)         {}

func (h *recordingHandler) GrowBuffer(buffer []byte, _ int) []byte { return buffer }

// encodeRecord returns a FastCGI record with zeroed padding.
func encodeRecord(recordType byte, id uint16, content string, padding int) []byte {
	header := []byte{1, recordType, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)),
		byte(padding), 0}
	return slices.Concat(header, []byte(content), make([]byte, padding))
}

// encodeEmptyRecord returns a record without content, which ends a stream if it is of a stream type.
func encodeEmptyRecord(recordType byte, id uint16) []byte { return encodeRecord(recordType, id, "", 0) }

// encodeBeginRequest returns a BEGIN_REQUEST record for a Responder.
func encodeBeginRequest(id uint16, flags byte) []byte {
	return encodeRecord(typeBeginRequest, id, string([]byte{0, roleResponder, flags, 0, 0, 0, 0, 0}), 0)
}

// encodeRequest returns all records of a request that keeps its connection open.
func encodeRequest(id uint16, body string) []byte {
	params := appendPair(nil, []byte("SCRIPT_NAME"), "/rpc/a")
	return slices.Concat(encodeBeginRequest(id, 1),
		encodeRecord(typeParams, id, string(params), 3), encodeEmptyRecord(typeParams, id),
		encodeRecord(typeStdin, id, body, 5), encodeEmptyRecord(typeStdin, id))
}

// feedInPieces feeds data to a new parser in pieces of size bytes. It returns the calls of the handler, followed by the
// error text if Feed fails, and the error.
func feedInPieces(data []byte, size int, finishesRequests bool) ([]string, error) {
	handler := &recordingHandler{finishesRequests: finishesRequests}
	for piece := range slices.Chunk(data, size) {
		if err := handler.parser.Feed(piece, handler); err != nil {
			return append(handler.calls, err.Error()), err
		}
	}
	return handler.calls, nil
}

// TestRequestWithoutCapacityIsRejected checks that a request is rejected with StatusOverloaded if no buffer is
// available for it, and its later records are ignored.
func TestRequestWithoutCapacityIsRejected(t *testing.T) {
	handler := &recordingHandler{isFull: true}
	require.NoError(t, handler.parser.Feed(encodeRequest(1, "abcd"), handler))
	require.Equal(t, []string{fmt.Sprintf("sent %x", AppendEndRequest(nil, 1, StatusOverloaded))}, handler.calls)
	handler.isFull = false
	require.NoError(t, handler.parser.Feed(encodeRequest(1, "abcd")[:30], handler))
	require.Len(t, handler.parser.IncompleteRequests(), 1)
	require.True(t, handler.parser.HasIncomplete())
}

func TestSplitAndInterleavingDoNotMatter(t *testing.T) {
	first := encodeRequest(1, "abcd")
	second := encodeRequest(2, strings.Repeat("x", 300))
	interleaved := slices.Concat(first[:16], second[:16], first[16:], second[16:])
	want := []string{
		"request 1 keep=true path=/rpc/a body=4:61626364",
		"request 2 keep=true path=/rpc/a body=300:78787878",
	}
	for size := 1; size <= len(interleaved); size++ {
		calls, err := feedInPieces(interleaved, size, true)
		require.NoError(t, err)
		require.Equal(t, want, calls)
	}
}

func TestMalformedRecordsEndTheConnection(t *testing.T) {
	var tooManyRequests []byte
	for id := range uint16(MaxOpenRequests + 1) {
		tooManyRequests = append(tooManyRequests, encodeBeginRequest(id+1, 1)...)
	}
	begun := encodeBeginRequest(1, 1)
	body := encodeRecord(typeStdin, 1, "x", 0)
	withParams := func(content string) []byte { return slices.Concat(begun, encodeRecord(typeParams, 1, content, 0)) }
	truncatedParams := slices.Concat(withParams("\x05\x7fab"), encodeEmptyRecord(typeParams, 1))
	for name, test := range map[string]struct {
		data []byte
		err  error
	}{
		"unknown version":            {slices.Concat([]byte{2}, begun[1:]), ErrUnsupportedVersion},
		"request begun twice":        {slices.Concat(begun, begun), ErrDuplicateID},
		"too many requests":          {tooManyRequests, ErrTooManyRequests},
		"body before parameters":     {slices.Concat(begun, body), ErrRecordOrder},
		"body after its end":         {slices.Concat(encodeRequest(1, ""), body), ErrRecordOrder},
		"begin record too long":      {encodeRecord(typeBeginRequest, 1, "123456789", 0), ErrInvalidLength},
		"management record too long": {encodeRecord(typeGetValues, 0, string(make([]byte, 2000)), 0), ErrInvalidLength},
		"parameters too long":        {withParams(string(make([]byte, 5000))), ErrInvalidLength},
		"truncated parameters":       {truncatedParams, ErrInvalidLength},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := feedInPieces(test.data, 7, false)
			require.ErrorIs(t, err, test.err)
		})
	}
}

func TestManagementAndUnknownRecordsAreAnswered(t *testing.T) {
	values := append(appendPair(nil, []byte("FCGI_MPXS_CONNS"), ""), appendPair(nil, []byte("OTHER"), "")...)
	data := slices.Concat(
		encodeRecord(typeGetValues, 0, string(values), 1), encodeRecord(77, 0, "?", 0), encodeEmptyRecord(78, 9),
		encodeRecord(typeBeginRequest, 3, unknownRoleContent, 0), encodeRecord(typeParams, 3, "passed over", 0),
		encodeEmptyRecord(typeAbortRequest, 9),
		encodeBeginRequest(5, 0), encodeEmptyRecord(typeAbortRequest, 5),
	)
	calls, err := feedInPieces(data, 3, false)
	require.NoError(t, err)
	sent := func(recordType byte, id uint16, content string) string {
		return fmt.Sprintf("sent %x", encodeRecord(recordType, id, content, 0))
	}
	require.Equal(t, []string{
		sent(typeGetValuesResult, 0, "\x0f\x01FCGI_MPXS_CONNS1"),
		sent(typeUnknownType, 0, "\x4d\x00\x00\x00\x00\x00\x00\x00"),
		sent(typeUnknownType, 0, "\x4e\x00\x00\x00\x00\x00\x00\x00"),
		sent(typeEndRequest, 3, "\x00\x00\x00\x00\x03\x00\x00\x00"),
		"aborted 5",
	}, calls)
}

func TestBodyTooLongIsReportedAtOnce(t *testing.T) {
	calls, err := feedInPieces(encodeRequest(1, string(make([]byte, 9000))), 1000, true)
	require.NoError(t, err)
	require.Equal(t, []string{"body too long 1"}, calls)
}

func TestLongResponseTakesSeveralRecords(t *testing.T) {
	output := AppendStdout(nil, 7, make([]byte, 70000))
	require.Len(t, output, 70000+2*headerSize)
	require.Equal(t, []byte{1, typeStdout, 0, 7, 0xff, 0xff, 0, 0}, output[:headerSize])
	end := slices.Concat(encodeEmptyRecord(typeStdout, 7), encodeRecord(typeEndRequest, 7, string(make([]byte, 8)), 0))
	require.Equal(t, end, AppendEndRequest(nil, 7, StatusRequestComplete))
}

// FuzzFeed checks that no input makes the parser panic, and that the calls of the handler do not depend on how the
// input is split.
func FuzzFeed(f *testing.F) {
	f.Add(encodeRequest(1, "body"), 3)
	f.Add(slices.Concat(encodeBeginRequest(1, 1), encodeRecord(typeAbortRequest, 1, "", 9)), 1)
	f.Add(encodeRecord(typeGetValues, 0, "\x01\x00a", 0), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		whole, _ := feedInPieces(data, max(1, len(data)), true)
		split, _ := feedInPieces(data, 1+max(0, size)%97, true)
		require.Equal(t, whole, split)
	})
}
