package fastcgi

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordingHandler is a Handler that records its calls as text. If finishes is set, it finishes a request as soon as it
// is complete.
type recordingHandler struct {
	calls    []string
	parser   Parser
	finishes bool
	isFull   bool // HasCapacity returns false
}

func (h *recordingHandler) note(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *recordingHandler) HandleRequest(request *Request) {
	h.note("request %d keep=%v path=%s body=%d:%x", request.ID, request.KeepConnection, request.Param("SCRIPT_NAME"),
		len(request.Body), request.Body[:min(4, len(request.Body))])
	if h.finishes {
		h.parser.Finish(request, h)
	}
}

func (h *recordingHandler) HandleBodyTooLong(request *Request) {
	h.note("body too long %d", request.ID)
	h.parser.Finish(request, h)
}

func (h *recordingHandler) HandleAbort(request *Request) { h.note("aborted %d", request.ID) }
func (h *recordingHandler) Send(records []byte)          { h.note("sent %x", records) }
func (h *recordingHandler) HasCapacity() bool            { return !h.isFull }
func (h *recordingHandler) AcquireBuffer() []byte        { return make([]byte, 0, 4096) }
func (h *recordingHandler) ReleaseBuffer([]byte)         {}

// record returns a FastCGI record with zeroed padding.
func record(kind byte, id uint16, content string, padding int) []byte {
	header := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), byte(padding), 0}
	return slices.Concat(header, []byte(content), make([]byte, padding))
}

// emptyRecord returns a record without content, which ends a stream if it is of a stream type.
func emptyRecord(kind byte, id uint16) []byte { return record(kind, id, "", 0) }

// begin returns a BEGIN_REQUEST record for a Responder.
func begin(id uint16, flags byte) []byte {
	return record(typeBeginRequest, id, string([]byte{0, roleResponder, flags, 0, 0, 0, 0, 0}), 0)
}

// request returns all records of a request that keeps its connection open.
func request(id uint16, body string) []byte {
	params := appendPair(nil, []byte("SCRIPT_NAME"), "/rpc/a")
	return slices.Concat(begin(id, 1), record(typeParams, id, string(params), 3), emptyRecord(typeParams, id),
		record(typeStdin, id, body, 5), emptyRecord(typeStdin, id))
}

// feedInPieces feeds data to a new parser in pieces of size bytes. It returns the calls of the handler, followed by the
// error text if Feed fails, and the error.
func feedInPieces(data []byte, size int, finishes bool) ([]string, error) {
	handler := &recordingHandler{finishes: finishes}
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
	require.NoError(t, handler.parser.Feed(request(1, "abcd"), handler))
	require.Equal(t, []string{fmt.Sprintf("sent %x", AppendEndRequest(nil, 1, StatusOverloaded))}, handler.calls)
	handler.isFull = false
	require.NoError(t, handler.parser.Feed(request(1, "abcd")[:30], handler))
	require.Len(t, handler.parser.IncompleteRequests(), 1)
	require.True(t, handler.parser.HasIncomplete())
}

func TestSplitAndInterleavingDoNotMatter(t *testing.T) {
	first := request(1, "abcd")
	second := request(2, strings.Repeat("x", 300))
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
	var tooMany []byte
	for id := range uint16(MaxOpenRequests + 1) {
		tooMany = append(tooMany, begin(id+1, 1)...)
	}
	begun := begin(1, 1)
	body := record(typeStdin, 1, "x", 0)
	withParams := func(content string) []byte { return slices.Concat(begun, record(typeParams, 1, content, 0)) }
	cutParams := slices.Concat(withParams("\x05\x7fab"), emptyRecord(typeParams, 1))
	for name, test := range map[string]struct {
		data []byte
		err  error
	}{
		"unknown version":            {slices.Concat([]byte{2}, begun[1:]), ErrVersion},
		"request begun twice":        {slices.Concat(begun, begun), ErrDuplicateID},
		"too many requests":          {tooMany, ErrTooManyRequests},
		"body before parameters":     {slices.Concat(begun, body), ErrRecordOrder},
		"body after its end":         {slices.Concat(request(1, ""), body), ErrRecordOrder},
		"begin record too long":      {record(typeBeginRequest, 1, "123456789", 0), ErrLength},
		"management record too long": {record(typeGetValues, 0, string(make([]byte, 2000)), 0), ErrLength},
		"parameters too long":        {withParams(string(make([]byte, 5000))), ErrLength},
		"truncated parameters":       {cutParams, ErrLength},
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
		record(typeGetValues, 0, string(values), 1), record(77, 0, "?", 0), emptyRecord(78, 9),
		record(typeBeginRequest, 3, unknownRole, 0), record(typeParams, 3, "passed over", 0),
		emptyRecord(typeAbortRequest, 9),
		begin(5, 0), emptyRecord(typeAbortRequest, 5),
	)
	calls, err := feedInPieces(data, 3, false)
	require.NoError(t, err)
	sent := func(kind byte, id uint16, content string) string {
		return fmt.Sprintf("sent %x", record(kind, id, content, 0))
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
	calls, err := feedInPieces(request(1, string(make([]byte, 9000))), 1000, true)
	require.NoError(t, err)
	require.Equal(t, []string{"body too long 1"}, calls)
}

func TestLongResponseTakesSeveralRecords(t *testing.T) {
	output := AppendStdout(nil, 7, make([]byte, 70000))
	require.Len(t, output, 70000+2*headerSize)
	require.Equal(t, []byte{1, typeStdout, 0, 7, 0xff, 0xff, 0, 0}, output[:headerSize])
	end := slices.Concat(emptyRecord(typeStdout, 7), record(typeEndRequest, 7, string(make([]byte, 8)), 0))
	require.Equal(t, end, AppendEndRequest(nil, 7, StatusRequestComplete))
}

// FuzzFeed checks that no input makes the parser panic, and that the calls of the handler do not depend on how the
// input is split.
func FuzzFeed(f *testing.F) {
	f.Add(request(1, "body"), 3)
	f.Add(slices.Concat(begin(1, 1), record(typeAbortRequest, 1, "", 9)), 1)
	f.Add(record(typeGetValues, 0, "\x01\x00a", 0), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		whole, _ := feedInPieces(data, max(1, len(data)), true)
		split, _ := feedInPieces(data, 1+max(0, size)%97, true)
		require.Equal(t, whole, split)
	})
}
