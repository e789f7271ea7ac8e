package fastcgi

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	"thistlequay/internal/golden"
)

// recorder is a peer that writes down what it is called with: a number for the call, the request's id and its bytes.
// It ends each request that it hears of at once, but for every third, which stays open.
type recorder struct {
	*golden.History
	parser Parser
	sent   []byte
	calls  int
}

func (r *recorder) see(s *Request, call int, values ...any) {
	r.calls++
	r.Add(append([]any{call, s.ID, s.KeepConnection}, values...)...)
	if r.calls%3 != 0 {
		r.sent = AppendEndRequest(AppendStdout(r.sent, s.ID, s.Body), s.ID, StatusRequestComplete)
		r.parser.Finish(s, r)
	}
}
func (r *recorder) HandleRequest(s *Request) {
	values := make([][]byte, 2)
	twice := s.Params([]string{"SCRIPT_NAME", "LONG"}, values)
	r.see(s, 1, fmt.Sprintf("%x %x %x", values[0], values[1], s.Param("MORE")), twice, fmt.Sprintf("%x", s.Body))
}
func (r *recorder) HandleBodyTooLong(s *Request) { r.see(s, 2) }
func (r *recorder) HandleAbort(s *Request)       { r.see(s, 3) }
func (r *recorder) Send(b []byte) {
	r.Add(4, fmt.Sprintf("%x", b))
	r.sent = append(r.sent, b...)
}
func (r *recorder) HasCapacity() bool      { r.calls++; return r.calls%11 != 0 }
func (r *recorder) AcquireBuffer() []byte  { r.Add(5); return make([]byte, 0, 512) }
func (r *recorder) ReleaseBuffer(b []byte) { r.Add(6, len(b)) }

// randomRecords are records as a router may send them, and now and then one that it must not.
func randomRecords(chance *rand.Rand) (data []byte) {
	bytesOf := func(most int) string {
		content := make([]byte, chance.Intn(most))
		chance.Read(content)
		return string(content)
	}
	for range 40 {
		id, padding := uint16(1+chance.Intn(4)), chance.Intn(9)
		fields := appendPair(nil, []byte("SCRIPT_NAME"), bytesOf(100))
		fields = appendPair(fields, []byte("MORE"), bytesOf(9))
		fields = append(append(fields, "\x04\x80\x00\x00\xc8LONG"...), make([]byte, 200)...)
		cut := chance.Intn(len(fields))
		switch chance.Intn(30) {
		case 0:
			data = append(data, record(byte(chance.Intn(256)), id, bytesOf(20), padding)...)
		case 1:
			data = append(data, record(byte(chance.Intn(14)), 0, bytesOf(20), padding)...)
		case 2:
			data = append(data, record(typeGetValues, 0, string(appendPair(nil, []byte("FCGI_MPXS_CONNS"), "")),
				padding)...)
		case 3, 4:
			data = append(data, record(typeAbortRequest, id, "", padding)...)
		case 5:
			data = append(data, record(typeBeginRequest, id, "\x00\x02\x01\x00\x00\x00\x00\x00", padding)...)
		default:
			id += uint16(len(data))
			data = append(data, begin(id, byte(chance.Intn(2)))...)
			data = append(data, record(typeParams, id, string(fields[:cut]), padding)...)
			data = append(data, record(typeParams, id, string(fields[cut:]), 0)...)
			data = append(data, record(typeParams, id, "", padding)...)
			data = append(data, record(typeStdin, id, bytesOf(600), padding)...)
			data = append(data, record(typeStdin, id, "", padding)...)
		}
	}
	return data
}

// FastCGI records in and out: one exchange byte for byte, and hashes of what is heard and sent in seeded ones.
func TestGoldenRecords(t *testing.T) {
	var out bytes.Buffer
	exchange := bytes.Join([][]byte{request(1, "abcd"), request(2, ""), request(3, "last"), record(typeGetValues, 0,
		"\x0f\x00FCGI_MPXS_CONNS", 1),
		record(77, 0, "?", 0), record(78, 9, "", 0), record(typeBeginRequest, 4, "\x00\x02\x01\x00\x00\x00\x00\x00", 2),
		begin(5, 0), record(typeAbortRequest, 5, "", 0)}, nil)
	r := &recorder{History: golden.NewHistory()}
	err := r.parser.Feed(exchange, r)
	fmt.Fprintf(&out, "in %x\nout %x\n%s err=%v\n", exchange, r.sent, r, err)
	for _, n := range []int{0, 1, 65535, 65536} {
		answer := AppendStdout([]byte{0xaa}, 0x1234, bytes.Repeat([]byte{7}, n))
		history := golden.NewHistory()
		history.Add(answer)
		fmt.Fprintf(&out, "%d bytes: %d %x %s\n", n, len(answer), answer[:min(len(answer), 12)], history)
	}
	for _, how := range []byte{StatusRequestComplete, StatusOverloaded, StatusUnknownRole} {
		fmt.Fprintf(&out, "end %x\n", AppendEndRequest(nil, 0x1234, how))
	}
	for first := int64(0); first < 200; first += 10 {
		history, failed := golden.NewHistory(), 0
		for seed := first; seed < first+10; seed++ {
			chance := rand.New(rand.NewSource(seed))
			r := &recorder{History: history}
			for data := randomRecords(chance); len(data) > 0; {
				n := min(len(data), 1+chance.Intn(300))
				if err := r.parser.Feed(data[:n], r); err != nil {
					failed++
					break
				}
				data = data[n:]
				history.Add(7, r.parser.OpenRequests(), r.parser.Idle(), r.parser.HasIncomplete(),
					len(r.parser.IncompleteRequests()))
			}
			r.parser.Abandon(r, func(s *Request) { history.Add(8, s.ID) })
			history.Add(fmt.Sprintf("%x", r.sent))
		}
		fmt.Fprintf(&out, "seeds %d to %d: %s failed=%d\n", first, first+9, history, failed)
	}
	golden.Check(t, "records.txt", out.Bytes())
}
