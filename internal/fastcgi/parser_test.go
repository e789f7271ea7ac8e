package fastcgi

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordingHandler writes down what it is called with. It finishes complete requests at once if answers is set.
type recordingHandler struct {
	calls   []string
	parser  Parser
	answers bool
	full    bool
}

func (h *recordingHandler) note(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *recordingHandler) HandleRequest(request *Request) {
	h.note("request %d keep=%v path=%s body=%d:%x", request.ID, request.KeepConnection, request.Param("SCRIPT_NAME"),
		len(request.Body), request.Body[:min(4, len(request.Body))])
	if h.answers {
		h.parser.Finish(request, h)
	}
}

func (h *recordingHandler) HandleBodyTooLong(request *Request) {
	h.note("body too long %d", request.ID)
	h.parser.Finish(request, h)
}

func (h *recordingHandler) HandleAbort(request *Request) { h.note("aborted %d", request.ID) }
func (h *recordingHandler) Send(records []byte)          { h.note("sent %x", records) }
func (h *recordingHandler) HasCapacity() bool            { return !h.full }
func (h *recordingHandler) AcquireBuffer() []byte        { return make([]byte, 0, 4096) }
func (h *recordingHandler) ReleaseBuffer([]byte)         {}

func record(kind byte, id uint16, content string, padding int) []byte {
	r := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), byte(padding), 0}
	return append(append(r, content...), make([]byte, padding)...)
}

func begin(id uint16, flags byte) []byte {
	return record(typeBeginRequest, id, string([]byte{0, roleResponder, flags, 0, 0, 0, 0, 0}), 0)
}

func request(id uint16, body string) []byte {
	fields := appendPair(nil, []byte("SCRIPT_NAME"), "/rpc/a")
	return bytes.Join([][]byte{begin(id, 1), record(typeParams, id, string(fields), 3), record(typeParams, id, "", 0),
		record(typeStdin, id, body, 5), record(typeStdin, id, "", 0)}, nil)
}

// feedInPieces feeds bytes in pieces of a size and returns the calls of the handler, with the error last.
func feedInPieces(data []byte, size int, answers bool) ([]string, error) {
	handler := &recordingHandler{answers: answers}
	for len(data) > 0 {
		n := min(size, len(data))
		if err := handler.parser.Feed(data[:n], handler); err != nil {
			return append(handler.calls, err.Error()), err
		}
		data = data[n:]
	}
	return handler.calls, nil
}

// A request that there are no buffers for is rejected in the protocol's own terms, and the rest of it passed over.
func TestRequestWithoutCapacityIsRejected(t *testing.T) {
	handler := &recordingHandler{full: true}
	require.NoError(t, handler.parser.Feed(request(1, "abcd"), handler))
	require.Equal(t, []string{fmt.Sprintf("sent %x", AppendEndRequest(nil, 1, StatusOverloaded))}, handler.calls)
	handler.full = false
	require.NoError(t, handler.parser.Feed(request(1, "abcd")[:30], handler))
	require.Len(t, handler.parser.IncompleteRequests(), 1)
	require.True(t, handler.parser.HasIncomplete())
}

func TestSplitAndInterleavingDoNotMatter(t *testing.T) {
	one, two := request(1, "abcd"), request(2, string(bytes.Repeat([]byte("x"), 300)))
	mixed := append(append(bytes.Clone(one[:16]), two[:16]...), append(one[16:], two[16:]...)...)
	want := []string{"request 1 keep=true path=/rpc/a body=4:61626364",
		"request 2 keep=true path=/rpc/a body=300:78787878"}
	for size := 1; size <= len(mixed); size++ {
		calls, err := feedInPieces(mixed, size, true)
		require.NoError(t, err)
		require.Equal(t, want, calls)
	}
}

func TestMalformedRecordsEndTheConnection(t *testing.T) {
	many := []byte{}
	for id := range uint16(MaxOpenRequests + 1) {
		many = append(many, begin(id+1, 1)...)
	}
	for name, c := range map[string]struct {
		data []byte
		err  error
	}{
		"version":            {append([]byte{2}, begin(1, 1)[1:]...), ErrVersion},
		"open twice":         {append(begin(1, 1), begin(1, 1)...), ErrDuplicateID},
		"too many":           {many, ErrTooManyRequests},
		"body before fields": {append(begin(1, 1), record(typeStdin, 1, "x", 0)...), ErrRecordOrder},
		"body after its end": {append(request(1, ""), record(typeStdin, 1, "x", 0)...), ErrRecordOrder},
		"long begin":         {record(typeBeginRequest, 1, "123456789", 0), ErrLength},
		"long management":    {record(typeGetValues, 0, string(make([]byte, 2000)), 0), ErrLength},
		"fields beyond":      {append(begin(1, 1), record(typeParams, 1, string(make([]byte, 5000)), 0)...), ErrLength},
		"fields cut short": {bytes.Join([][]byte{begin(1, 1), record(typeParams, 1, "\x05\x7fab", 0),
			record(typeParams, 1, "", 0)}, nil), ErrLength},
	} {
		_, err := feedInPieces(c.data, 7, false)
		require.ErrorIs(t, err, c.err, name)
	}
}

func TestManagementAndUnknownRecordsAreAnswered(t *testing.T) {
	values := append(appendPair(nil, []byte("FCGI_MPXS_CONNS"), ""), appendPair(nil, []byte("OTHER"), "")...)
	role := record(typeBeginRequest, 3, string([]byte{0, 2, 1, 0, 0, 0, 0, 0}), 0)
	data := bytes.Join([][]byte{
		record(typeGetValues, 0, string(values), 1), record(77, 0, "?", 0), record(78, 9, "", 0),
		role, record(typeParams, 3, "passed over", 0),
		record(typeAbortRequest, 9, "", 0),
		begin(5, 0), record(typeAbortRequest, 5, "", 0),
	}, nil)
	calls, err := feedInPieces(data, 3, false)
	require.NoError(t, err)
	require.Equal(t, []string{
		fmt.Sprintf("sent %x", record(typeGetValuesResult, 0, "\x0f\x01FCGI_MPXS_CONNS1", 0)),
		fmt.Sprintf("sent %x", record(typeUnknownType, 0, "\x4d\x00\x00\x00\x00\x00\x00\x00", 0)),
		fmt.Sprintf("sent %x", record(typeUnknownType, 0, "\x4e\x00\x00\x00\x00\x00\x00\x00", 0)),
		fmt.Sprintf("sent %x", record(typeEndRequest, 3, "\x00\x00\x00\x00\x03\x00\x00\x00", 0)),
		"aborted 5"}, calls)
}

func TestBodyTooLongIsReportedAtOnce(t *testing.T) {
	calls, err := feedInPieces(request(1, string(make([]byte, 9000))), 1000, true)
	require.NoError(t, err)
	require.Equal(t, []string{"body too long 1"}, calls)
}

func TestLongAnswerTakesSeveralRecords(t *testing.T) {
	out := AppendStdout(nil, 7, make([]byte, 70000))
	require.Len(t, out, 70000+2*headerSize)
	require.Equal(t, []byte{1, typeStdout, 0, 7, 0xff, 0xff, 0, 0}, out[:headerSize])
	end := append(record(typeStdout, 7, "", 0), record(typeEndRequest, 7, string(make([]byte, 8)), 0)...)
	require.Equal(t, end, AppendEndRequest(nil, 7, StatusRequestComplete))
}

// Nothing panics, and the calls do not depend on how the bytes were split.
func FuzzFeed(f *testing.F) {
	f.Add(request(1, "body"), 3)
	f.Add(append(begin(1, 1), record(typeAbortRequest, 1, "", 9)...), 1)
	f.Add(record(typeGetValues, 0, "\x01\x00a", 0), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		whole, _ := feedInPieces(data, max(1, len(data)), true)
		split, _ := feedInPieces(data, 1+max(0, size)%97, true)
		require.Equal(t, whole, split)
	})
}
