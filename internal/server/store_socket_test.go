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

// A hundred incarnations, each killed at a seeded moment while three attempts per key arrive, of keys of this
// incarnation and of earlier ones: no key runs twice, and every successful response to a key is the same.
func TestMeasuredNoKeyRunsTwiceOverCrashes(t *testing.T) {
	server := servertest.New(t)
	config := server.Config
	server.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "  durability: process\n")
	chance := rand.New(rand.NewSource(7))
	lives := 100
	fresh := 4
	if os.Getenv("MEASURE") == "full" {
		lives = 500
	}
	runs := map[string]int{}
	told := map[string]string{}
	answers := 0
	keys := 0
	for life := range lives {
		vm := server.StartWithInterpreter(t, config)
		var asked []string
		for range fresh {
			keys++
			asked = append(asked, fmt.Sprint("key-", keys))
		}
		for range min(life, 4) {
			asked = append(asked, fmt.Sprint("key-", max(1, keys-chance.Intn(30))))
		}
		type got struct {
			key string
			emulator.Response
		}
		came := make(chan got, 100)
		ends := make(chan struct{}, 3)
		for range 3 {
			router := server.ConnectRouter()
			for slot, key := range asked {
				router.SendTimedBook(uint16(slot+1), key)
			}
			go func() {
				for {
					a, err := router.ReadResponse()
					if err != nil {
						ends <- struct{}{}
						return
					}
					came <- got{asked[a.Slot-1], a}
				}
			}()
		}
		for range chance.Intn(3 * len(asked)) { // then the process is killed
			a := <-came
			answers++
			if a.Status == 200 {
				if before, known := told[a.key]; known {
					server.Equal(before, a.Body)
				}
				told[a.key] = a.Body
			}
		}
		server.NoError(server.Process.Process.Kill())
		<-server.Ended()
		for range 3 {
			<-ends
		}
		vm.Inspect(func(v *emulator.Interpreter) {
			for body, n := range v.RunsByBody {
				runs[body] += n
			}
		})
		vm.Close()
	}
	double := 0
	for _, n := range runs {
		double += n - 1
	}
	t.Logf("measured store-lives lives=%d keys=%d runs=%d answers=%d fulfilled_keys=%d double_runs=%d", lives, keys,
		len(runs), answers, len(told), double)
	server.Zero(double)
	server.Greater(len(told), keys/8)
}

// A retry after a restart gets the first result, one with another body is rejected, a second server on the same
// directory does not start, and the store commands show what the directory holds.
func TestStoredResultsSurviveRestart(t *testing.T) {
	server := servertest.New(t)
	directory := filepath.Join(t.TempDir(), "store")
	server.Service = servertest.StoreSection(directory, "")
	config := server.Config
	vm := server.StartWithInterpreter(t, config)
	router := server.ConnectRouter()
	router.SendTimedBook(1, "k")
	router.ExpectResponse(1, 200, "result of 1 entry k")
	second := servertest.New(t)
	second.Service = server.Service
	second.WriteFilesAndStart()
	code, log := second.WaitForExit()
	server.Equal(command.ExitFailed, code)
	server.Contains(log, "another process has this store")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	code, _ = server.WaitForExit()
	server.Zero(code)
	vm.Close()
	server.StartWithInterpreter(t, config)
	server.Contains(server.LogText(), "event=store_open")
	server.Regexp("event=warm_start .*used=true", server.LogText())
	router = server.ConnectRouter()
	router.SendTimedBook(1, "k")
	router.ExpectResponse(1, 200, "result of 1 entry k")
	with := servertest.RequestParameters(server.NewRequestID())
	with["HTTP_ONCE_KEY"] = "k"
	router.Send(2, "/rpc/book", "another body", with)
	router.ExpectResponse(2, 422, "")
	router.SendTimedBook(3, "new")
	router.ExpectResponse(3, 200, "result of 1 entry new")
	tool := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := command.Run(append([]string{"store"}, args...), &out, &out)
		return code, out.String()
	}
	code, out := tool("inspect", "--all", directory)
	server.Zero(code)
	server.Contains(out, `gets the kept result, 19 bytes`)
	server.Contains(out, "intent key=")
	code, _ = tool("verify", directory)
	server.Zero(code)
	code, out = tool("compact", directory)
	server.Equal(command.ExitFailed, code)
	server.Contains(out, "another process")
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	server.WaitForExit()
	code, out = tool("compact", directory)
	server.Zero(code, out)
	server.Contains(out, "2 stamps kept")
	files, err := filepath.Glob(filepath.Join(directory, "*.seg"))
	server.NoError(err)
	server.Len(files, 1)
	text, err := os.ReadFile(files[0])
	server.NoError(err)
	text[len(text)/2] ^= 1
	server.NoError(os.WriteFile(files[0], text, 0o600))
	code, out = tool("verify", directory)
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

// What keyed requests pay for their intent records, and idempotent requests beside them.
func TestMeasuredStoreLatency(t *testing.T) {
	n := 150
	if os.Getenv("MEASURE") == "full" {
		n = 5_000
	}
	base := map[string]*hdrhistogram.Histogram{}
	for _, mode := range []string{"none", "process", "machine"} {
		server := servertest.New(t)
		if mode != "none" {
			server.Service = servertest.StoreSection(filepath.Join(t.TempDir(), "store"), "  durability: "+mode+"\n")
		}
		config := server.Config
		server.StartWithInterpreter(t, config)
		router := server.ConnectRouter()
		times := map[string]*hdrhistogram.Histogram{"stamped": hdrhistogram.New(1, 60e6, 3),
			"harmless": hdrhistogram.New(1, 60e6, 3)}
		begun := time.Now()
		for i := range n {
			at := time.Now()
			router.SendTimedBook(1, fmt.Sprint("key-", i))
			router.ExpectResponse(1, 200, fmt.Sprint("result of 1 entry key-", i))
			server.NoError(times["stamped"].RecordValue(time.Since(at).Microseconds()))
			at = time.Now()
			router.SendLook(2, "1 harmless")
			router.ExpectResponse(2, 200, "result of 1 harmless")
			server.NoError(times["harmless"].RecordValue(time.Since(at).Microseconds()))
		}
		if mode == "none" {
			base = times
		}
		t.Logf("measured store-latency mode=%s pairs_a_second=%.0f stamped_p50_us=%d stamped_p99_us=%d "+
			"added_p50_us=%d harmless_p50_ratio=%.2f", mode,
			float64(n)/time.Since(begun).Seconds(), times["stamped"].ValueAtQuantile(50),
			times["stamped"].ValueAtQuantile(99),
			times["stamped"].ValueAtQuantile(50)-base["stamped"].ValueAtQuantile(50),
			float64(times["harmless"].ValueAtQuantile(50))/float64(base["harmless"].ValueAtQuantile(50)))
		require.False(t, strings.Contains(server.LogText(), "store_rejections"))
	}
}
