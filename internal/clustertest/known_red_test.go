package clustertest_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// CI passes over the tests that KNOWN-RED.txt lists, and over nothing else.
func TestKnownRedListIsTheOnlyExceptionInCI(t *testing.T) {
	t.Parallel()
	script, err := filepath.Abs("../../.ci/tests")
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("go.mod", "module red\n\ngo 1.24\n")
	write("red_test.go", `package red

import "testing"

func TestGreen(*testing.T) {}
func TestRed(t *testing.T) { t.Fatal("as ever") }
func TestAlsoRed(t *testing.T) { t.Fatal("too") }
`)
	const red, also = "TestRed | an order that is open | issue 33\n", "TestAlsoRed | another | issue 34\n"
	for name, c := range map[string]struct {
		list string
		ok   bool
		says string
	}{
		"both listed":          {red + also, true, "as ever"},
		"no end of line":       {also + red[:len(red)-1], true, "--- FAIL: TestRed"},
		"nothing listed":       {"", false, "--- FAIL: TestRed"},
		"a failure not listed": {red, false, "--- FAIL: TestAlsoRed"},
		"four":                 {red + also + red + also, false, "three are the most"},
		"no cause":             {red + "TestAlsoRed |  | issue 34\n", false, `not "TestName | cause | issue N"`},
		"no issue":             {red + "TestAlsoRed | another\n", false, `not "TestName | cause | issue N"`},
		"an empty line":        {red + "\n" + also, false, `not "TestName | cause | issue N"`},
		"a pattern":            {"Test.* | all of them | issue 33\n", false, `not "TestName | cause | issue N"`},
		"a name that nothing has": {red + also + "TestGone | another | issue 34\n", false,
			"no test is named TestGone"},
		"a part of a name":         {red + also + "TestGre | another | issue 34\n", false, "no test is named TestGre"},
		"one that is green by now": {red + also + "TestGreen | was red | issue 34\n", true, "--- PASS: TestGreen"},
	} {
		write("KNOWN-RED.txt", c.list)
		run := exec.Command("bash", script)
		run.Dir = dir
		out, err := run.CombinedOutput()
		require.Equal(t, c.ok, err == nil, "%s: %s", name, out)
		require.Contains(t, string(out), c.says, name)
	}
	write("red_test.go", "package red\n\nimport \"testing\"\n\nfunc TestGreen(*testing.T) {}\n")
	write("KNOWN-RED.txt", "")
	run := exec.Command("bash", script)
	run.Dir = dir
	out, err := run.CombinedOutput()
	require.NoError(t, err, "an empty list: %s", out)
}
