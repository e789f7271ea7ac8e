package badclient

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"time"

	"thistlequay/internal/emulator"
)

const (
	// requestBudget is how long a well-behaved client waits for a response.
	requestBudget = 7 * time.Second

	// responseTolerance is by how much later than that a response may come on sockets.
	responseTolerance = 50 * time.Millisecond

	// repeatDelay is the time after which a keyed request is repeated.
	repeatDelay = 500 * time.Millisecond

	// requestInterval is the mean time between two requests of a well-behaved client.
	requestInterval = 100 * time.Millisecond

	// wellBehavedClients is the number of well-behaved clients.
	wellBehavedClients = 10
)

// tally is what the well-behaved clients have seen.
type tally struct {
	lock          sync.Mutex
	sent          int
	served        int
	refused       int // with the promise that the request never ran
	failed        int // with another status
	unanswered    int // no response in time, on a connection that stayed open
	closed        int // the connection was refused or ended without a response
	repeats       int // of keyed requests that were served
	repeatsServed int // with the result of the request that they repeat
	latencies     []time.Duration
}

// exchange sends one request on a link, or on a new connection if link is nil, and counts its outcome. If a link that
// was open before ends without a response, the request may have crossed its close, and is sent once more.
func (t *tally) exchange(link *emulator.Link, address, path, body, key string) (emulator.Response, bool) {
	sentAt := time.Now()
	var response emulator.Response
	err := errNoConnection
	if link != nil {
		response, err = attempt(link, path, body, key, sentAt)
	}
	if err != nil && time.Since(sentAt) < requestBudget {
		if opened, dialErr := emulator.Dial(address); dialErr == nil {
			response, err = attempt(opened, path, body, key, sentAt)
			_ = opened.Close() // nothing more comes on it
		}
	}
	t.record(&response, err, time.Since(sentAt))
	return response, err == nil && response.Status == 200
}

// errNoConnection means that the server could not be connected to.
var errNoConnection = errors.New("no connection")

// attempt sends a request under a new identifier and waits for the response until the request's budget is over.
func attempt(link *emulator.Link, path, body, key string, sentAt time.Time) (emulator.Response, error) {
	parameters := emulator.RequestParameters(fmt.Sprintf("%016x", rand.Uint64()), "acme", requestBudget)
	if key != "" {
		parameters["HTTP_ONCE_KEY"] = key
	}
	if err := link.SetDeadline(sentAt.Add(requestBudget + responseTolerance)); err != nil {
		return emulator.Response{}, err
	}
	if _, err := link.Write(emulator.FastCGIRequest(1, path, body, parameters)); err != nil {
		return emulator.Response{}, err
	}
	return link.ReadResponse()
}

// record counts the outcome of a request.
func (t *tally) record(response *emulator.Response, err error, took time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.sent++
	t.latencies = append(t.latencies, took)
	switch {
	case err != nil && took >= requestBudget:
		t.unanswered++
	case err != nil:
		t.closed++
	case response.Status == 200:
		t.served++
	case response.Status == 503 || response.Status == 0: // 0 is OVERLOADED
		t.refused++
	default:
		t.failed++
	}
}

func (t *tally) count(change func()) {
	t.lock.Lock()
	defer t.lock.Unlock()
	change()
}

// latency returns a quantile of the latencies.
func (t *tally) latency(quantile float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.latencies))
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// use is one well-behaved client: it sends requests until stop is closed, on a kept and on new connections in turn.
// Every third request is keyed and repeated once on a new connection after it was served.
func (t *tally) use(address string, number int, random *rand.Rand, stop <-chan struct{}) {
	var repeats sync.WaitGroup
	defer repeats.Wait()
	kept, err := emulator.Dial(address)
	if err != nil {
		kept = nil
	}
	for i := 0; !isClosed(stop); i++ {
		body := "1 " + strconv.Itoa(number) + " " + strconv.Itoa(i)
		link := kept
		if i%2 == 0 {
			link = nil
		}
		if i%3 != 0 {
			if _, served := t.exchange(link, address, "/rpc/look", body, ""); !served && link != nil {
				_ = kept.Close()
				if kept, err = emulator.Dial(address); err != nil {
					kept = nil
				}
			}
		} else {
			key := fmt.Sprintf("key-%d-%d-%d", number, i, random.Int63())
			if first, served := t.exchange(nil, address, "/rpc/book", body, key); served {
				repeats.Go(func() {
					time.Sleep(repeatDelay)
					repeat, served := t.exchange(nil, address, "/rpc/book", body, key)
					t.count(func() {
						t.repeats++
						if served && repeat.Body == first.Body {
							t.repeatsServed++
						}
					})
				})
			}
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(requestInterval)))
	}
}
