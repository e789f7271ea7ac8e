package fastcgi

import (
	"bytes"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"thistlequay/internal/golden"
)

// historyHandler is a Handler that records its calls in a history: a number for each method, the ID of the request and
// its bytes. It finishes requests immediately, but leaves some of them open (see recordCall).
type historyHandler struct {
	*golden.History
	parser Parser
	sent   []byte
	calls  int
}

// recordCall records a call for a request. It answers and finishes the request, except when the number of calls so far
// is a multiple of three.
func (r *historyHandler) recordCall(request *Request, method int, values ...any) {
	r.calls++
	r.Add(append([]any{method, request.ID, request.KeepConnection}, values...)...)
	if r.calls%3 != 0 {
		r.sent = AppendStdout(r.sent, request.ID, request.Body)
		r.sent = AppendEndRequest(r.sent, request.ID, StatusRequestComplete)
		r.parser.Finish(request, r)
	}
}

func (r *historyHandler) HandleRequest(request *Request) {
	values := make([][]byte, 2)
	isRepeated := request.Params([]string{"SCRIPT_NAME", "LONG"}, values)
	params := fmt.Sprintf("%x %x %x", values[0], values[1], request.Param("MORE"))
	r.recordCall(request, 1, params, isRepeated, fmt.Sprintf("%x", request.Body))
}

func (r *historyHandler) HandleBodyTooLong(request *Request) { r.recordCall(request, 2) }
func (r *historyHandler) HandleAbort(request *Request)       { r.recordCall(request, 3) }
func (r *historyHandler) ReleaseBuffer(buffer []byte)        { r.Add(6, len(buffer)) }

func (r *historyHandler) Send(records []byte) {
	r.Add(4, fmt.Sprintf("%x", records))
	r.sent = append(r.sent, records...)
}

func (r *historyHandler) HasCapacity() bool {
	r.calls++
	return r.calls%11 != 0
}

func (r *historyHandler) AcquireBuffer() []byte {
	r.Add(5)
	return make([]byte, 0, 512)
}

func (r *historyHandler) GrowBuffer(buffer []byte, _ int) []byte { return buffer }

// unknownRoleContent is the content of a BEGIN_REQUEST record with a role other than Responder.
const unknownRoleContent = "\x00\x02\x01\x00\x00\x00\x00\x00"

// randomRecords returns random records as a router may send them, with an occasional invalid one.
func randomRecords(random *rand.Rand) (data []byte) {
	content := func(maxLength int) string {
		randomBytes := make([]byte, random.Intn(maxLength))
		random.Read(randomBytes)
		return string(randomBytes)
	}
	for range 40 {
		id := uint16(1 + random.Intn(4))
		padding := random.Intn(9)
		add := func(recordType byte, id uint16, content string, padding int) {
			data = append(data, encodeRecord(recordType, id, content, padding)...)
		}
		params := appendPair(nil, []byte("SCRIPT_NAME"), content(100))
		params = appendPair(params, []byte("MORE"), content(9))
		params = append(append(params, "\x04\x80\x00\x00\xc8LONG"...), make([]byte, 200)...)
		splitAt := random.Intn(len(params))
		switch random.Intn(30) {
		case 0:
			add(byte(random.Intn(256)), id, content(20), padding)
		case 1:
			add(byte(random.Intn(14)), 0, content(20), padding)
		case 2:
			add(typeGetValues, 0, string(appendPair(nil, []byte("FCGI_MPXS_CONNS"), "")), padding)
		case 3, 4:
			add(typeAbortRequest, id, "", padding)
		case 5:
			add(typeBeginRequest, id, unknownRoleContent, padding)
		default:
			id += uint16(len(data))
			data = append(data, encodeBeginRequest(id, byte(random.Intn(2)))...)
			add(typeParams, id, string(params[:splitAt]), padding)
			add(typeParams, id, string(params[splitAt:]), 0)
			add(typeParams, id, "", padding)
			add(typeStdin, id, content(600), padding)
			add(typeStdin, id, "", padding)
		}
	}
	return data
}

// TestGoldenRecords compares received and sent FastCGI records with a golden file: one exchange byte for byte, and
// hashes of exchanges that are generated from seeds.
func TestGoldenRecords(t *testing.T) {
	var lines bytes.Buffer
	exchange := slices.Concat(encodeRequest(1, "abcd"), encodeRequest(2, ""), encodeRequest(3, "last"),
		encodeRecord(typeGetValues, 0, "\x0f\x00FCGI_MPXS_CONNS", 1), encodeRecord(77, 0, "?", 0),
		encodeEmptyRecord(78, 9), encodeRecord(typeBeginRequest, 4, unknownRoleContent, 2),
		encodeBeginRequest(5, 0), encodeEmptyRecord(typeAbortRequest, 5))
	handler := &historyHandler{History: golden.NewHistory()}
	err := handler.parser.Feed(exchange, handler)
	fmt.Fprintf(&lines, "in %x\nout %x\n%s err=%v\n", exchange, handler.sent, handler, err)
	for _, length := range []int{0, 1, 65535, 65536} {
		output := AppendStdout([]byte{0xaa}, 0x1234, bytes.Repeat([]byte{7}, length))
		history := golden.NewHistory()
		history.Add(output)
		fmt.Fprintf(&lines, "%d bytes: %d %x %s\n", length, len(output), output[:min(len(output), 12)], history)
	}
	for _, status := range []byte{StatusRequestComplete, StatusOverloaded, StatusUnknownRole} {
		fmt.Fprintf(&lines, "end %x\n", AppendEndRequest(nil, 0x1234, status))
	}
	for firstSeed := int64(0); firstSeed < 200; firstSeed += 10 {
		history := golden.NewHistory()
		failedCount := 0
		for seed := firstSeed; seed < firstSeed+10; seed++ {
			if playRandomRecords(seed, history) != nil {
				failedCount++
			}
		}
		fmt.Fprintf(&lines, "seeds %d to %d: %s failed=%d\n", firstSeed, firstSeed+9, history, failedCount)
	}
	golden.Check(t, "records.txt", lines.Bytes())
}

// playRandomRecords feeds random records in pieces of random size until an error, then abandons the open requests. It
// returns the error.
func playRandomRecords(seed int64, history *golden.History) (err error) {
	random := rand.New(rand.NewSource(seed))
	handler := &historyHandler{History: history}
	parser := &handler.parser
	for data := randomRecords(random); len(data) > 0 && err == nil; {
		length := min(len(data), 1+random.Intn(300))
		err = parser.Feed(data[:length], handler)
		data = data[length:]
		if err == nil {
			history.Add(7, parser.OpenRequests(), parser.Idle(), parser.HasIncomplete(),
				len(parser.IncompleteRequests()))
		}
	}
	parser.Abandon(handler, func(request *Request) { history.Add(8, request.ID) })
	history.Add(fmt.Sprintf("%x", handler.sent))
	return err
}
