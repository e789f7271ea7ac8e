package server_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// keyedResponse is a response to an attempt with an idempotency key.
type keyedResponse struct {
	key string
	emulator.Response
}

// attemptsPerKey is how often each key is sent before the process is killed, each time on another connection.
const attemptsPerKey = 3

// sendKeyedAttempts sends one attempt of each key on each of attemptsPerKey connections, in request slots from 1 on.
// The first channel receives the responses, the second a value for each connection that has ended.
func sendKeyedAttempts(server *servertest.Server, keys []string) (<-chan keyedResponse, <-chan struct{}) {
	server.T.Helper()
	responses := make(chan keyedResponse, 100)
	ended := make(chan struct{}, attemptsPerKey)
	for range attemptsPerKey {
		router := server.ConnectRouter()
		for i, key := range keys {
			router.SendTimedBook(uint16(i+1), key)
		}
		go func() {
			for {
				response, err := router.ReadResponse()
				if err != nil {
					ended <- struct{}{}
					return
				}
				responses <- keyedResponse{keys[response.Slot-1], response}
			}
		}()
	}
	return responses, ended
}

// Starts 100 processes on one store, or 500 with MEASURE=full, and kills each after a random number of responses, while
// three attempts each of new and of earlier keys arrive. No key must run twice, and all successful responses to a key
// must be equal.
func TestMeasuredNoKeyRunsTwiceOverCrashes(t *testing.T) {
	server := servertest.New(t)
	config := server.Config
	server.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "  durability: process\n")
	random := rand.New(rand.NewSource(7))
	incarnations := 100
	newKeys := 4
	if os.Getenv("MEASURE") == "full" {
		incarnations = 500
	}
	runs := map[string]int{}       // by body
	results := map[string]string{} // by key
	responses := 0
	keyCount := 0
	for incarnation := range incarnations {
		interpreter := server.StartWithInterpreter(t, config)
		var keys []string
		for range newKeys {
			keyCount++
			keys = append(keys, fmt.Sprint("key-", keyCount))
		}
		for range min(incarnation, 4) {
			keys = append(keys, fmt.Sprint("key-", max(1, keyCount-random.Intn(30))))
		}
		received, ended := sendKeyedAttempts(server, keys)
		for range random.Intn(attemptsPerKey * len(keys)) { // then the process is killed
			response := <-received
			responses++
			if response.Status != 200 {
				continue
			}
			earlier, known := results[response.key]
			if known {
				server.Equal(earlier, response.Body)
			}
			results[response.key] = response.Body
		}
		server.Kill()
		for range attemptsPerKey {
			<-ended
		}
		interpreter.Inspect(func(inspected *emulator.Interpreter) {
			for body, count := range inspected.RunsByBody {
				runs[body] += count
			}
		})
		interpreter.Close()
	}
	doubleRuns := 0
	for _, count := range runs {
		doubleRuns += count - 1
	}
	t.Logf("measured store-crashes incarnations=%d keys=%d runs=%d responses=%d succeeded_keys=%d double_runs=%d",
		incarnations, keyCount, len(runs), responses, len(results), doubleRuns)
	server.Zero(doubleRuns)
	server.Greater(len(results), keyCount/8)
}

// runStoreCommand runs a store command in this process and returns its exit code and output.
func runStoreCommand(args ...string) (int, string) {
	var out bytes.Buffer
	code := command.Run(append([]string{"store"}, args...), &out, &out)
	return code, out.String()
}

// flipStoredByte flips a bit in the middle of the only segment of a store.
func flipStoredByte(server *servertest.Server, directory string) {
	server.T.Helper()
	segments, err := filepath.Glob(filepath.Join(directory, "*.seg"))
	server.NoError(err)
	server.Len(segments, 1)
	content, err := os.ReadFile(segments[0])
	server.NoError(err)
	content[len(content)/2] ^= 1
	server.NoError(os.WriteFile(segments[0], content, 0o600))
}

// A retry after a restart gets the stored result, and a retry with another body is rejected. A second server does not
// start on the same directory. The store commands report the contents of the directory, also with a corrupt byte. After
// the corruption, keyed requests whose records may be lost are rejected.
func TestStoredResultsSurviveRestart(t *testing.T) {
	server := servertest.New(t)
	directory := filepath.Join(t.TempDir(), "store")
	server.Service = servertest.StoreSection(directory, "")
	config := server.Config
	interpreter := server.StartWithInterpreter(t, config)
	router := server.ConnectRouter()
	router.SendTimedBook(1, "k")
	router.ExpectResponse(1, 200, "result of 1 entry k")

	second := servertest.New(t)
	second.Service = server.Service
	second.WriteFilesAndStart()
	code, log := second.WaitForExit()
	server.Equal(command.ExitFailed, code)
	server.Contains(log, "another process has this store")

	server.Signal(syscall.SIGTERM)
	code, _ = server.WaitForExit()
	server.Zero(code)
	interpreter.Close()

	server.StartWithInterpreter(t, config)
	server.Contains(server.LogText(), "event=store_open")
	server.Regexp("event=warm_start .*used=true", server.LogText())
	router = server.ConnectRouter()
	router.SendTimedBook(1, "k")
	router.ExpectResponse(1, 200, "result of 1 entry k")
	router.SendWith(2, "/rpc/book", "another body", "HTTP_ONCE_KEY", "k")
	router.ExpectResponse(2, 422, "")
	router.SendTimedBook(3, "new")
	router.ExpectResponse(3, 200, "result of 1 entry new")

	code, out := runStoreCommand("inspect", "--all", directory)
	server.Zero(code)
	server.Contains(out, `gets the kept result, 19 bytes`)
	server.Contains(out, "intent key=")
	code, _ = runStoreCommand("verify", directory)
	server.Zero(code)
	code, out = runStoreCommand("compact", directory)
	server.Equal(command.ExitFailed, code)
	server.Contains(out, "another process")
	server.Signal(syscall.SIGTERM)
	server.WaitForExit()
	code, out = runStoreCommand("compact", directory)
	server.Zero(code, out)
	server.Contains(out, "2 stamps kept")
	flipStoredByte(server, directory)
	code, out = runStoreCommand("verify", directory)
	server.Equal(command.ExitFailed, code)
	server.Contains(out, "garbled, lost=true")

	// Keyed requests whose records may be lost are rejected with a Retry-After; idempotent ones are served.
	server.StartWithInterpreter(t, config)
	server.Contains(server.LogText(), "event=store_corruption")
	router = server.ConnectRouter()
	router.SendTimedBook(1, "never heard of")
	_, status, headers, _ := router.NextResponse()
	server.Equal(503, status)
	server.Contains(headers, "Back-Off-Ms: 1000")
	router.SendLook(2, "1 harmless")
	router.ExpectResponse(2, 200, "result of 1 harmless")
}

// Guards against a stored result that is served to a client that used the key with another body while the request was
// queued: after a restart, that client is rejected as before, and the true repeat gets the result.
func TestStoredResultIsNotServedToAnotherBody(t *testing.T) {
	server := servertest.New(t)
	server.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "")
	config := server.Config
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	router := server.ConnectRouter()
	running := []string{interpreter.StartLook(router, 1, "a"), interpreter.StartLook(router, 2, "b")}
	router.SendTimedBook(3, "k") // queued: the limit is two runs
	router.ExpectHealth(4, 200)
	router.SendWith(5, "/rpc/book", "another body", "HTTP_ONCE_KEY", "k")
	router.ExpectResponse(5, 422, "")
	interpreter.CompleteRun(router, 1, running[0], "a")
	interpreter.CompleteRun(router, 2, running[1], "b")
	book := interpreter.NextCommand()
	server.Equal("APPLY", book.Type)
	interpreter.CompleteRun(router, 3, book.Job, "r")
	server.Signal(syscall.SIGTERM)
	server.WaitForExit()

	server.StartWithInterpreter(t, config)
	router = server.ConnectRouter()
	router.SendWith(1, "/rpc/book", "another body", "HTTP_ONCE_KEY", "k")
	router.ExpectResponse(1, 422, "")
	router.SendTimedBook(2, "k")
	router.ExpectResponse(2, 200, "r")
}

// Measures the response times of keyed and of idempotent requests without a store and with each durability, and the
// time that the intent record adds to a keyed request. The store must not cause any rejection.
func TestMeasuredStoreLatency(t *testing.T) {
	pairs := 150
	if os.Getenv("MEASURE") == "full" {
		pairs = 5_000
	}
	withoutStore := measureStoreLatency(t, "none", pairs)
	withoutStore.log(t, withoutStore)
	for _, durability := range []string{"process", "machine"} {
		measureStoreLatency(t, durability, pairs).log(t, withoutStore)
	}
}

// storeLatency holds the response times in microseconds of pairs of requests, one keyed and one idempotent.
type storeLatency struct {
	durability     string
	keyed          *hdrhistogram.Histogram
	idempotent     *hdrhistogram.Histogram
	pairsPerSecond float64
}

// measureStoreLatency sends pairs of requests, one after the other, to a server with a store of the given durability.
func measureStoreLatency(t *testing.T, durability string, pairs int) *storeLatency {
	t.Helper()
	server := servertest.New(t)
	if durability != "none" {
		directory := filepath.Join(t.TempDir(), "store")
		server.Service = servertest.StoreSection(directory, "  durability: "+durability+"\n")
	}
	server.StartWithInterpreter(t, server.Config)
	router := server.ConnectRouter()
	latency := &storeLatency{
		durability: durability,
		keyed:      hdrhistogram.New(1, 60e6, 3),
		idempotent: hdrhistogram.New(1, 60e6, 3),
	}
	startedAt := time.Now()
	for i := range pairs {
		sent := time.Now()
		router.SendTimedBook(1, fmt.Sprint("key-", i))
		router.ExpectResponse(1, 200, fmt.Sprint("result of 1 entry key-", i))
		server.NoError(latency.keyed.RecordValue(time.Since(sent).Microseconds()))
		sent = time.Now()
		router.SendLook(2, "1 harmless")
		router.ExpectResponse(2, 200, "result of 1 harmless")
		server.NoError(latency.idempotent.RecordValue(time.Since(sent).Microseconds()))
	}
	latency.pairsPerSecond = float64(pairs) / time.Since(startedAt).Seconds()
	require.False(t, strings.Contains(server.LogText(), "store_rejections"))
	return latency
}

// log logs the measured times and the time that the store adds to those without a store.
func (l *storeLatency) log(t *testing.T, withoutStore *storeLatency) {
	t.Helper()
	keyedP50 := l.keyed.ValueAtQuantile(50)
	idempotentP50 := float64(l.idempotent.ValueAtQuantile(50))
	t.Logf("measured store-latency durability=%s pairs_per_second=%.0f keyed_p50_us=%d keyed_p99_us=%d "+
		"added_p50_us=%d idempotent_p50_ratio=%.2f",
		l.durability, l.pairsPerSecond, keyedP50, l.keyed.ValueAtQuantile(99),
		keyedP50-withoutStore.keyed.ValueAtQuantile(50),
		idempotentP50/float64(withoutStore.idempotent.ValueAtQuantile(50)))
}

// Guards against a rejection, the promise that nothing ran, of repeats whose results are in the store but were not
// restored, because the process before kept more results than a restart did.
func TestRestartRestoresEveryResultThatWasKept(t *testing.T) {
	for _, size := range []struct{ memoryMB, keys int }{{16, 700}, {32, 1500}} {
		t.Run(fmt.Sprintf("%d MB", size.memoryMB), func(t *testing.T) {
			server := servertest.New(t)
			server.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "  durability: process\n")
			server.ReplaceConfig(`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, size.memoryMB))
			config := server.Config
			server.StartWithInterpreter(t, config)
			router := server.ConnectRouter()
			for i := range size.keys {
				router.SendTimedBook(1, fmt.Sprint("key-", i))
				router.ExpectResponse(1, 200, fmt.Sprint("result of 1 entry key-", i))
			}
			server.Kill()

			server.StartWithInterpreter(t, config)
			router = server.ConnectRouter()
			for i := range 5 {
				router.SendTimedBook(1, fmt.Sprint("key-", i))
				router.ExpectResponse(1, 200, fmt.Sprint("result of 1 entry key-", i))
			}
		})
	}
}
