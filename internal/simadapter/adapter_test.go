package simadapter

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// createBatch creates the server server-1.
const createBatch = `MARK T=10.0
FOR Server=server-1
CREATE Prng=7 Env={"Categories":[{"Effect":"once","HardLimit":100.0,"OnTime":50.0,"Worth":1.0}],` +
	`"FamilyInfo":{"Cores":1,"MemoryKb":1e6,"RunFactor":2,"Meters":["on_cores","core_use"],"New":[1]},` +
	`"Rules":{"TipMultiple":8},"Period":1.0}
EOF_BATCH
`

// serve returns the output and the error of Serve for the input text.
func serve(text string) (string, error) {
	var output strings.Builder
	err := Serve(strings.NewReader(text), &output)
	return output.String(), err
}

// requireServed returns the output of Serve for the input text, and fails the test if Serve returns an error.
func requireServed(t *testing.T, text string) string {
	t.Helper()
	output, err := serve(text)
	require.NoError(t, err)
	return output
}

// basicSession is the input of a session with arrivals, ended runs, an unknown event, and a server that is killed and
// created again.
const basicSession = createBatch + `MARK T=11.05
FOR Server=server-1
INBOUND Xid=5 Lay=0.55 HeldKb=1 Novel=x
INBOUND Xid=6
INBOUND Xid=7 TimeLeft=0.001
ENDED Xid=99 Status=GOOD Duration=1
SURPRISE Xid=5
EOF_BATCH

MARK T=12
FOR Server=server-1
DEADLINE_HIT Token=look Usage=1,0.5
ENDED Xid=5 Status=GOOD Duration=0.95
EOF_BATCH
MARK T=13
FOR Server=server-1
KILL
CREATE Prng=8 Env={"Categories":[{"Effect":"repeatable"}],"FamilyInfo":{"Cores":1}}
EOF_BATCH
MARK T=14
EOF_BATCH
`

func TestBatchesAreAnsweredInOrder(t *testing.T) {
	require.Equal(t, `AS Server=server-1
MARK_HEALTH Cheap=1 Want=1
EOR
AS Server=server-1
TURN_AWAY Xid=7 NoRetry=1
EXECUTE Xid=5
WAKE_AT SleepFor=1.2 Token=look
EOR
AS Server=server-1
EXECUTE Xid=6
WAKE_AT SleepFor=1.2 Token=look
EOR
AS Server=server-1
MARK_HEALTH Cheap=1 Want=1
EOR
EOR
`, requireServed(t, basicSession))
}

// cachedReadsSession is the input of a session with marked retries, reads that share a result, and a request that is
// answered without its downstream call.
const cachedReadsSession = `MARK T=10.0
FOR Server=server-1
CREATE Prng=7 Env={"Categories":[{"Effect":"repeatable","HardLimit":100,"OnTime":50,"Worth":1}],` +
	`"Clients":{"MarksRetry":true},` +
	`"FamilyInfo":{"Cores":1,"MemoryKb":1e6,"RunFactor":2,"Fresh":1000,"ClassSkipWorth":[0.4]},` +
	`"Rules":{"TipMultiple":8}}
INBOUND Xid=5 HeldKb=1 Key=77
EOF_BATCH
MARK T=20
FOR Server=server-1
INBOUND Xid=6 HeldKb=1 Key=77 Forerunner=5
READY_TO_CALL Xid=5
EOF_BATCH
MARK T=59.9
FOR Server=server-1
CALLED Xid=5 Status=NOCONN Duration=39
EOF_BATCH
`

func TestReadsShareResultsAndSkipCalls(t *testing.T) {
	output := requireServed(t, cachedReadsSession)
	for _, line := range []string{
		"MEMO Xid=5 HoldFor=", "EXECUTE Xid=5\n", "SHARE Xid=6\n", "INVOKE Xid=5 Until=", "OMIT Xid=5\n",
	} {
		require.Contains(t, output, line)
	}
}

// batch returns a batch with one line for the server that createBatch creates.
func batch(line string) string { return "MARK T=11\nFOR Server=server-1\n" + line + "\nEOF_BATCH\n" }

// malformedInputs lists inputs that Serve must reject, with a part of the error message.
var malformedInputs = []struct{ name, text, message string }{
	{"no MARK", "EOF_BATCH\n", `line 1: batch begins with "EOF_BATCH" instead of MARK`},
	{"input ends within a batch", "MARK T=1\nFOR Server=server-1\n", "unexpected end of input within a batch"},
	{"input ends within a line", "MARK T=1", "unexpected end of input within a line"},
	{"no FOR", "MARK T=1\nINBOUND Xid=1\nEOF_BATCH\n", "INBOUND before the first FOR"},
	{"server not created", "MARK T=1\nFOR Server=a\nKILL\nEOF_BATCH", "never created"},
	{"truncated settings", "MARK T=1\nFOR Server=a\nCREATE Env={\nEOF_BATCH\n", "can't be read"},
	{"negative memory", strings.Replace(createBatch, `"MemoryKb":1e6`, `"MemoryKb":-1`, 1), "out of range"},
	{"soft deadline too long", strings.Replace(createBatch, `"OnTime":50.0`, `"OnTime":1e200`, 1), "out of range"},
	{"negative request ID", createBatch + batch("INBOUND Xid=-5"), "not an unsigned integer"},
	{"flag that is neither 0 nor 1", createBatch + batch("INBOUND Xid=5 Retry=2"), "neither 1 nor 0"},
	{"no request ID", createBatch + batch("ENDED"), "no Xid"},
	{"key without a value", createBatch + batch("INBOUND junk"), "not name=value"},
	{"gauge is a letter", createBatch + batch("DEADLINE_HIT Usage=1,z"), "not a number"},
	{"gauge is empty", createBatch + batch("DEADLINE_HIT Usage=,1"), "not a number"},
	{"router number too large", createBatch + batch("INBOUND Xid=5 OriginPeer=99999999999"), "out of range"},
	{"time left too long", createBatch + batch("INBOUND Xid=5 TimeLeft=1e300"), "out of range"},
	{"negative size", createBatch + batch("INBOUND Xid=5 HeldKb=-1"), "out of range"},
}

func TestMalformedLinesEndTheSession(t *testing.T) {
	for _, test := range malformedInputs {
		t.Run(test.name, func(t *testing.T) {
			output, err := serve(test.text)
			require.ErrorContains(t, err, test.message)
			require.NotContains(t, output, "EXECUTE")
		})
	}
}

// deploymentSettings holds the settings of two deployments that differ in every setting.
var deploymentSettings = [2]string{
	`"Categories":[{"Name":"a","Effect":"by_key","HardLimit":900,"OnTime":300,"Worth":1,"Window":400},` +
		`{"Name":"b","Effect":"repeatable","HardLimit":500,"OnTime":200,"LateWorth":0.5,"Worth":3}],` +
		`"FamilyInfo":{"Cores":2,"MemoryKb":4000,"RunFactor":4,"EntryKb":9,"Halt":"drop","Say":"min_rank",` +
		`"Downstream":"common","CallShare":1.5,"CallsOver":500,"Linger":20,"Cold":true,"Callers":3,` +
		`"Meters":["core_use","on_cores"]},"Limits":{"RetryAfter":true,"MaxRetryAfter":100},` +
		`"Rules":{"TipMultiple":3,"Cold":2000,"ColdFrom":0.2},"Period":2,"Servers":4`,
	`"Categories":[{"Name":"a","Effect":"once","HardLimit":5000,"OnTime":4000,"Worth":7}],` +
		`"FamilyInfo":{"Cores":1,"MemoryKb":900,"RunFactor":16,"Say":"bias","Meters":["on_cores","core_use"]},` +
		`"Rules":{"TipMultiple":9},"Period":4,"Servers":300`,
}

// generateSchedules generates random input: a separate input for each of the two deployments, and one input that
// interleaves the same events for both of them in one process.
func generateSchedules(seed int64) (separateInputs [2]string, combinedInput string) {
	random := rand.New(rand.NewSource(seed))
	var separate [2]strings.Builder
	var combined strings.Builder
	for step := range 300 {
		fmt.Fprintf(&combined, "MARK T=%d\n", step*7)
		for i, settings := range deploymentSettings {
			events := fmt.Sprintf("CREATE Prng=%d Env={%s}\n", seed, settings)
			if step > 0 {
				events = generateEvents(random, step, 2-i)
			}
			fmt.Fprintf(&combined, "FOR Server=s%d\n%s", i, events)
			fmt.Fprintf(&separate[i], "MARK T=%d\nFOR Server=s%d\n%sEOF_BATCH\n", step*7, i, events)
		}
		combined.WriteString("EOF_BATCH\n")
	}
	return [2]string{separate[0].String(), separate[1].String()}, combined.String()
}

// generateEvents generates the random events of one batch for a server with the given number of categories.
func generateEvents(random *rand.Rand, step, categories int) string {
	var events strings.Builder
	for i := range random.Intn(3) {
		fmt.Fprintf(&events, "INBOUND Xid=%d OriginPeer=%d Band=%d HeldKb=%d Lay=%d\n",
			step*10+i, random.Intn(4), random.Intn(categories), 1+random.Intn(40), random.Intn(30))
	}
	id := max(1, step-random.Intn(6))*10 + random.Intn(2)
	event := []string{
		"ENDED Xid=%d Status=GOOD Duration=12\n", "READY_TO_CALL Xid=%d\n",
		"CALLED Xid=%d Status=GOOD Duration=9\n", "WITHDRAWN Xid=%d\n",
	}[random.Intn(4)]
	fmt.Fprintf(&events, event, id)
	fmt.Fprintf(&events, "DEADLINE_HIT Token=look Usage=%d,%d\n", random.Intn(2), random.Intn(5))
	return events.String()
}

// Each deployment produces the same output in a process with another deployment as it does alone. Package-level state
// that the servers share would break this.
func TestDeploymentsInOneProcessShareNothing(t *testing.T) {
	var separateOutputs [2]strings.Builder
	var combinedOutput strings.Builder
	for seed := range int64(20) {
		separateInputs, combinedInput := generateSchedules(seed)
		separateOutputs[0].WriteString(requireServed(t, separateInputs[0]))
		separateOutputs[1].WriteString(requireServed(t, separateInputs[1]))
		combinedOutput.WriteString(requireServed(t, combinedInput))
	}
	var splitOutputs [2]strings.Builder
	current := 0
	for line := range strings.Lines(combinedOutput.String()) {
		switch line {
		case "AS Server=s0\n", "AS Server=s1\n":
			current = int(line[len("AS Server=s")] - '0')
		case "EOR\n":
			continue
		}
		splitOutputs[current].WriteString(line)
	}
	for i := range deploymentSettings {
		require.Contains(t, splitOutputs[i].String(), "EXECUTE")
		require.Equal(t, strings.ReplaceAll(separateOutputs[i].String(), "EOR\n", ""), splitOutputs[i].String())
	}
}

// FuzzServe checks that no input makes Serve panic.
func FuzzServe(f *testing.F) {
	f.Add(createBatch)
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = serve(text) // must not panic
	})
}
