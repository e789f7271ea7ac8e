package simadapter

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const createBatch = `MARK T=10.0
FOR Server=server-1
CREATE Prng=7 Env={"Categories":[{"Effect":"once","HardLimit":100.0,"OnTime":50.0,"Worth":1.0}],` +
	`"FamilyInfo":{"Cores":1,"MemoryKb":1e6,"RunFactor":2,"Meters":["on_cores","core_use"],"New":[1]},` +
	`"Rules":{"TipMultiple":8},"Period":1.0}
EOF_BATCH
`

func serve(text string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(text), &out)
	return out.String(), err
}

const conversation = createBatch + `MARK T=11.05
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

func TestConversation(t *testing.T) {
	out, err := serve(conversation)
	require.NoError(t, err)
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
`, out)
}

// cachedReads is a conversation with marked retries, reads that share a result, and an answer without a downstream
// call.
const cachedReads = `MARK T=10.0
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
	out, err := serve(cachedReads)
	require.NoError(t, err)
	for _, line := range []string{
		"MEMO Xid=5 HoldFor=", "EXECUTE Xid=5\n", "SHARE Xid=6\n", "INVOKE Xid=5 Until=", "OMIT Xid=5\n",
	} {
		require.Contains(t, out, line)
	}
}

// malformed are conversations with a line that can't be read, and a part of the error.
var malformed = []struct{ text, message string }{
	{"EOF_BATCH\n", "line 1: a batch opens with MARK"},
	{"MARK T=1\nFOR Server=server-1\n", "the input ends in the middle of a batch"},
	{"MARK T=1\nINBOUND Xid=1\nEOF_BATCH\n", "before any FOR"},
	{"MARK T=1\nFOR Server=a\nKILL\nEOF_BATCH", "never created"},
	{"MARK T=1", "middle of a line"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=-5\nEOF_BATCH\n", "not a whole number"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 Retry=2\nEOF_BATCH\n", "neither 1 nor 0"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nENDED\nEOF_BATCH\n", "no Xid"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nINBOUND junk\nEOF_BATCH\n", "not name=value"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nDEADLINE_HIT Usage=1,z\nEOF_BATCH\n", "not a number"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nDEADLINE_HIT Usage=,1\nEOF_BATCH\n", "not a number"},
	{"MARK T=1\nFOR Server=a\nCREATE Env={\nEOF_BATCH\n", "can't be read"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 OriginPeer=99999999999\nEOF_BATCH\n",
		"out of range"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 TimeLeft=1e300\nEOF_BATCH\n", "out of range"},
	{createBatch + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 HeldKb=-1\nEOF_BATCH\n", "out of range"},
	{strings.Replace(createBatch, `"MemoryKb":1e6`, `"MemoryKb":-1`, 1), "out of range"},
	{strings.Replace(createBatch, `"OnTime":50.0`, `"OnTime":1e200`, 1), "out of range"},
}

func TestMalformedLinesEndTheSession(t *testing.T) {
	for _, c := range malformed {
		out, err := serve(c.text)
		require.ErrorContains(t, err, c.message, c.text)
		require.NotContains(t, out, "EXECUTE", c.text)
	}
}

// deployments are the settings of two deployments that differ in all that they can.
var deployments = [2]string{
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

// schedules draws what each of the two deployments is told alone, and both of them in one process.
func schedules(seed int64) (alone [2]string, together string) {
	chance := rand.New(rand.NewSource(seed))
	var texts [3]strings.Builder
	for step := range 300 {
		fmt.Fprintf(&texts[2], "MARK T=%d\n", step*7)
		for n, settings := range deployments {
			events := fmt.Sprintf("CREATE Prng=%d Env={%s}\n", seed, settings)
			if step > 0 {
				events = drawEvents(chance, step, 2-n)
			}
			fmt.Fprintf(&texts[2], "FOR Server=s%d\n%s", n, events)
			fmt.Fprintf(&texts[n], "MARK T=%d\nFOR Server=s%d\n%sEOF_BATCH\n", step*7, n, events)
		}
		texts[2].WriteString("EOF_BATCH\n")
	}
	return [2]string{texts[0].String(), texts[1].String()}, texts[2].String()
}

// drawEvents draws the events of a batch for a server with so many categories.
func drawEvents(chance *rand.Rand, step, categories int) string {
	var events strings.Builder
	for k := range chance.Intn(3) {
		fmt.Fprintf(&events, "INBOUND Xid=%d OriginPeer=%d Band=%d HeldKb=%d Lay=%d\n",
			step*10+k, chance.Intn(4), chance.Intn(categories), 1+chance.Intn(40), chance.Intn(30))
	}
	id := max(1, step-chance.Intn(6))*10 + chance.Intn(2)
	event := []string{
		"ENDED Xid=%d Status=GOOD Duration=12\n", "READY_TO_CALL Xid=%d\n",
		"CALLED Xid=%d Status=GOOD Duration=9\n", "WITHDRAWN Xid=%d\n",
	}[chance.Intn(4)]
	fmt.Fprintf(&events, event, id)
	fmt.Fprintf(&events, "DEADLINE_HIT Token=look Usage=%d,%d\n", chance.Intn(2), chance.Intn(5))
	return events.String()
}

// What each deployment answers is what it answers alone, whatever the other one in the process is told.
func TestDeploymentsInOneProcessShareNothing(t *testing.T) {
	var alone, both [2]strings.Builder
	var together strings.Builder
	for seed := range int64(20) {
		apart, mixed := schedules(seed)
		for n := range deployments {
			out, err := serve(apart[n])
			require.NoError(t, err)
			alone[n].WriteString(out)
		}
		out, err := serve(mixed)
		require.NoError(t, err)
		together.WriteString(out)
	}
	who := 0
	for line := range strings.Lines(together.String()) {
		switch line {
		case "AS Server=s0\n", "AS Server=s1\n":
			who = int(line[len("AS Server=s")] - '0')
		case "EOR\n":
			continue
		}
		both[who].WriteString(line)
	}
	for n := range deployments {
		require.Contains(t, both[n].String(), "EXECUTE")
		require.Equal(t, strings.ReplaceAll(alone[n].String(), "EOR\n", ""), both[n].String())
	}
}

func FuzzServe(f *testing.F) {
	f.Add(createBatch)
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = serve(text) // must not panic
	})
}
