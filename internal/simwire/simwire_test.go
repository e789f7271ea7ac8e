package simwire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const start = `MARK T=10.0
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

func TestConversation(t *testing.T) {
	out, err := serve(start + `MARK T=11.05
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
`)
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

func TestMalformed(t *testing.T) {
	for text, message := range map[string]string{
		"EOF_BATCH\n":                             "line 1: a batch opens with MARK",
		"MARK T=1\nFOR Server=server-1\n":         "the input ends in the middle of a batch",
		"MARK T=1\nINBOUND Xid=1\nEOF_BATCH\n":    "before any FOR",
		"MARK T=1\nFOR Server=a\nKILL\nEOF_BATCH": "never created",
		"MARK T=1": "middle of a line",
		start + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=-5\nEOF_BATCH\n":                       "not a whole number",
		start + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 Retry=2\nEOF_BATCH\n":                "neither 1 nor 0",
		start + "MARK T=11\nFOR Server=server-1\nENDED\nEOF_BATCH\n":                                "no Xid",
		start + "MARK T=11\nFOR Server=server-1\nINBOUND junk\nEOF_BATCH\n":                         "not name=value",
		start + "MARK T=11\nFOR Server=server-1\nDEADLINE_HIT Usage=1,z\nEOF_BATCH\n":               "not a number",
		start + "MARK T=11\nFOR Server=server-1\nDEADLINE_HIT Usage=,1\nEOF_BATCH\n":                "not a number",
		"MARK T=1\nFOR Server=a\nCREATE Env={\nEOF_BATCH\n":                                         "can't be read",
		start + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 OriginPeer=99999999999\nEOF_BATCH\n": "out of range",
		start + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 TimeLeft=1e300\nEOF_BATCH\n":         "out of range",
		start + "MARK T=11\nFOR Server=server-1\nINBOUND Xid=5 HeldKb=-1\nEOF_BATCH\n":              "out of range",
		strings.Replace(start, `"MemoryKb":1e6`, `"MemoryKb":-1`, 1):                                "out of range",
		strings.Replace(start, `"OnTime":50.0`, `"OnTime":1e200`, 1):                                "out of range",
	} {
		out, err := serve(text)
		require.ErrorContains(t, err, message, text)
		require.NotContains(t, out, "EXECUTE", text)
	}
}

func FuzzServe(f *testing.F) {
	f.Add(start)
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = serve(text) // must not panic
	})
}
