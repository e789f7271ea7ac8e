package fastcgi

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// ear is a peer that notes what it hears. It answers whole requests at once where told to.
type ear struct {
	heard   []string
	parser  Parser
	answers bool
	full    bool
}

func (e *ear) Room() bool { return !e.full }
func (e *ear) Whole(s *Stream) {
	e.heard = append(e.heard, fmt.Sprintf("whole %d keep=%v path=%s body=%d:%x", s.ID, s.Keep,
		s.Field("SCRIPT_NAME"), len(s.Body), s.Body[:min(4, len(s.Body))]))
	if e.answers {
		e.parser.End(s, e)
	}
}
func (e *ear) Overlong(s *Stream) {
	e.heard = append(e.heard, fmt.Sprintf("overlong %d", s.ID))
	e.parser.End(s, e)
}
func (e *ear) Aborted(s *Stream) { e.heard = append(e.heard, fmt.Sprintf("aborted %d", s.ID)) }
func (e *ear) Reply(b []byte)    { e.heard = append(e.heard, fmt.Sprintf("reply %x", b)) }
func (e *ear) Buffer() []byte    { return make([]byte, 0, 4096) }
func (e *ear) Free([]byte)       {}

func record(kind byte, id uint16, content string, padding int) []byte {
	r := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), byte(padding), 0}
	return append(append(r, content...), make([]byte, padding)...)
}

func begin(id uint16, flags byte) []byte {
	return record(beginRequest, id, string([]byte{0, responder, flags, 0, 0, 0, 0, 0}), 0)
}

func request(id uint16, body string) []byte {
	fields := appendPair(nil, []byte("SCRIPT_NAME"), "/rpc/a")
	return bytes.Join([][]byte{begin(id, 1), record(params, id, string(fields), 3), record(params, id, "", 0),
		record(stdin, id, body, 5), record(stdin, id, "", 0)}, nil)
}

// fed gives what is heard of the bytes, fed in pieces of the size given.
func fed(data []byte, size int, answers bool) ([]string, error) {
	e := &ear{answers: answers}
	for len(data) > 0 {
		n := min(size, len(data))
		if err := e.parser.Feed(data[:n], e); err != nil {
			return append(e.heard, err.Error()), err
		}
		data = data[n:]
	}
	return e.heard, nil
}

// What is begun where there is no room is turned away with the protocol's own word, and the rest of it passed over.
func TestNoRoomForAnotherRequest(t *testing.T) {
	e := &ear{full: true}
	require.NoError(t, e.parser.Feed(request(1, "abcd"), e))
	require.Equal(t, []string{fmt.Sprintf("reply %x", AppendEnd(nil, 1, Overloaded))}, e.heard)
	e.full = false
	require.NoError(t, e.parser.Feed(request(1, "abcd")[:30], e))
	require.Len(t, e.parser.Halves(), 1)
	require.True(t, e.parser.Partial())
}

func TestAnySplitAndInterleaving(t *testing.T) {
	one, two := request(1, "abcd"), request(2, string(bytes.Repeat([]byte("x"), 300)))
	mixed := append(append(bytes.Clone(one[:16]), two[:16]...), append(one[16:], two[16:]...)...)
	want := []string{"whole 1 keep=true path=/rpc/a body=4:61626364",
		"whole 2 keep=true path=/rpc/a body=300:78787878"}
	for size := 1; size <= len(mixed); size++ {
		heard, err := fed(mixed, size, true)
		require.NoError(t, err)
		require.Equal(t, want, heard)
	}
}

func TestWhatClosesAConnection(t *testing.T) {
	many := []byte{}
	for id := range uint16(MostOpen + 1) {
		many = append(many, begin(id+1, 1)...)
	}
	for name, c := range map[string]struct {
		data []byte
		err  error
	}{
		"version":            {append([]byte{2}, begin(1, 1)[1:]...), ErrVersion},
		"open twice":         {append(begin(1, 1), begin(1, 1)...), ErrOpen},
		"too many":           {many, ErrTooMany},
		"body before fields": {append(begin(1, 1), record(stdin, 1, "x", 0)...), ErrOrder},
		"body after its end": {append(request(1, ""), record(stdin, 1, "x", 0)...), ErrOrder},
		"long begin":         {record(beginRequest, 1, "123456789", 0), ErrLength},
		"long management":    {record(getValues, 0, string(make([]byte, 2000)), 0), ErrLength},
		"fields beyond":      {append(begin(1, 1), record(params, 1, string(make([]byte, 5000)), 0)...), ErrLength},
		"fields cut short": {bytes.Join([][]byte{begin(1, 1), record(params, 1, "\x05\x7fab", 0),
			record(params, 1, "", 0)}, nil), ErrLength},
	} {
		_, err := fed(c.data, 7, false)
		require.ErrorIs(t, err, c.err, name)
	}
}

func TestWhatTheSpecificationAnswers(t *testing.T) {
	values := append(appendPair(nil, []byte("FCGI_MPXS_CONNS"), ""), appendPair(nil, []byte("OTHER"), "")...)
	role := record(beginRequest, 3, string([]byte{0, 2, 1, 0, 0, 0, 0, 0}), 0)
	data := bytes.Join([][]byte{record(getValues, 0, string(values), 1), record(77, 0, "?", 0), record(78, 9, "", 0),
		role, record(params, 3, "passed over", 0), record(abortRequest, 9, "", 0), begin(5, 0),
		record(abortRequest, 5, "", 0)}, nil)
	heard, err := fed(data, 3, false)
	require.NoError(t, err)
	require.Equal(t, []string{
		fmt.Sprintf("reply %x", record(getValuesResult, 0, "\x0f\x01FCGI_MPXS_CONNS1", 0)),
		fmt.Sprintf("reply %x", record(unknownType, 0, "\x4d\x00\x00\x00\x00\x00\x00\x00", 0)),
		fmt.Sprintf("reply %x", record(unknownType, 0, "\x4e\x00\x00\x00\x00\x00\x00\x00", 0)),
		fmt.Sprintf("reply %x", record(endRequest, 3, "\x00\x00\x00\x00\x03\x00\x00\x00", 0)),
		"aborted 5"}, heard)
}

func TestABodyBeyondTheBufferIsToldAtOnce(t *testing.T) {
	heard, err := fed(request(1, string(make([]byte, 9000))), 1000, true)
	require.NoError(t, err)
	require.Equal(t, []string{"overlong 1"}, heard)
}

func TestLongAnswerTakesSeveralRecords(t *testing.T) {
	out := AppendOut(nil, 7, make([]byte, 70000))
	require.Len(t, out, 70000+2*headerLen)
	require.Equal(t, []byte{1, stdout, 0, 7, 0xff, 0xff, 0, 0}, out[:headerLen])
	require.Equal(t, append(record(stdout, 7, "", 0), record(endRequest, 7, "\x00\x00\x00\x00\x00\x00\x00\x00", 0)...),
		AppendEnd(nil, 7, Complete))
}

// Nothing panics, and what is heard does not depend on how the bytes were split.
func FuzzFeed(f *testing.F) {
	f.Add(request(1, "body"), 3)
	f.Add(append(begin(1, 1), record(abortRequest, 1, "", 9)...), 1)
	f.Add(record(getValues, 0, "\x01\x00a", 0), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		whole, _ := fed(data, max(1, len(data)), true)
		split, _ := fed(data, 1+max(0, size)%97, true)
		require.Equal(t, whole, split)
	})
}
