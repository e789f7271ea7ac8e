// Package thistlequay_test tests the repository's CI scripts.
package thistlequay_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKnownRedListIsTheOnlyExceptionInCI runs the CI test script on a small module. The script must tolerate failures
// of exactly the tests that KNOWN-RED.txt lists, and must reject a malformed list.
func TestKnownRedListIsTheOnlyExceptionInCI(t *testing.T) {
	t.Parallel()
	module := newScriptModule(t)
	module.write("red_test.go", `package red

import "testing"

func TestGreen(*testing.T) {}
func TestRed(t *testing.T) { t.Fatal("as ever") }
func TestAlsoRed(t *testing.T) { t.Fatal("too") }
`)
	const red = "TestRed | go test -run TestRed . (no seed) | an order that is open | issue 33\n"
	const alsoRed = "TestAlsoRed | seed 4 | another | issue 34\n"
	const bothRed = red + alsoRed
	const malformed = `not "TestName | command and seed | what was seen | issue N"`
	for name, test := range map[string]struct {
		list   string
		passes bool
		output string // expected substring of the script's output
	}{
		"both listed":             {bothRed, true, "as ever"},
		"no trailing newline":     {alsoRed + red[:len(red)-1], true, "--- FAIL: TestRed"},
		"nothing listed":          {"", false, "--- FAIL: TestRed"},
		"a failure not listed":    {red, false, "--- FAIL: TestAlsoRed"},
		"duplicate entries":       {bothRed + bothRed, false, "listed twice"},
		"no command":              {red + "TestAlsoRed |  | another | issue 34\n", false, malformed},
		"no observation":          {red + "TestAlsoRed | seed 4 |  | issue 34\n", false, malformed},
		"three fields":            {red + "TestAlsoRed | another | issue 34\n", false, malformed},
		"no issue":                {red + "TestAlsoRed | seed 4 | another\n", false, malformed},
		"an issue with no number": {red + "TestAlsoRed | seed 4 | another | issue\n", false, malformed},
		"an empty line":           {red + "\n" + alsoRed, false, malformed},
		"a pattern as a name":     {"Test.* | seed 4 | all of them | issue 33\n", false, malformed},
		"an unknown test name":    {bothRed + "TestGone | seed | x | issue 34\n", false, "no test is named TestGone"},
		"a prefix of a test name": {bothRed + "TestGre | seed 4 | x | issue 34\n", false, "no test is named TestGre"},
		"a listed test passes":    {bothRed + "TestGreen | seed 4 | x | issue 34\n", true, "--- PASS: TestGreen"},
	} {
		module.write("KNOWN-RED.txt", test.list)
		output, err := module.runScript()
		require.Equal(t, test.passes, err == nil, "%s: %s", name, output)
		require.Contains(t, output, test.output, name)
	}
	module.write("red_test.go", "package red\n\nimport \"testing\"\n\nfunc TestGreen(*testing.T) {}\n")
	module.write("KNOWN-RED.txt", "")
	output, err := module.runScript()
	require.NoError(t, err, "an empty list: %s", output)
}

// scriptModule is a Go module in a temporary directory on which the CI test script runs.
type scriptModule struct {
	t         *testing.T
	directory string
	script    string
}

// newScriptModule creates a module that contains no packages yet.
func newScriptModule(t *testing.T) *scriptModule {
	t.Helper()
	script, err := filepath.Abs(".ci/tests")
	require.NoError(t, err)
	module := &scriptModule{t: t, directory: t.TempDir(), script: script}
	module.write("go.mod", "module red\n\ngo 1.24\n")
	return module
}

// write creates or replaces a file at the root of the module.
func (m *scriptModule) write(name, text string) {
	m.t.Helper()
	require.NoError(m.t, os.WriteFile(filepath.Join(m.directory, name), []byte(text), 0o600))
}

// runScript runs the script in the module. It returns the combined output, and an error if the script fails.
func (m *scriptModule) runScript() (string, error) {
	command := exec.Command("bash", m.script)
	command.Dir = m.directory
	output, err := command.CombinedOutput()
	return string(output), err
}

// TestKnownRedSubtestIsTheOnlyExceptionInCI checks that an entry for a subtest exempts that subtest alone: CI used to
// pass over all seeds of a test if one of them was known to fail.
func TestKnownRedSubtestIsTheOnlyExceptionInCI(t *testing.T) {
	t.Parallel()
	module := newScriptModule(t)
	module.write("red_test.go", `package red

import "testing"

func TestSeeds(t *testing.T) {
	t.Run("3", func(*testing.T) {})
	t.Run("31", func(t *testing.T) { t.Fatal("as ever") })
	t.Run("319", func(t *testing.T) { t.Fatal("too") })
}

func TestRed(t *testing.T) { t.Fatal("a whole test") }
`)
	const red = "TestRed | go test -run TestRed . (no seed) | an order that is open | issue 33\n"
	const seed31 = "TestSeeds/31 | seed 31 | an order that is open | issue 33\n"
	const seed319 = "TestSeeds/319 | seed 319 | another | issue 34\n"
	const all = red + seed31 + seed319
	const rest = " | a seed | another | issue 34\n"
	for name, test := range map[string]struct {
		list   string
		passes bool
		output string // expected substring of the script's output
	}{
		"all that fail are listed":     {all, true, "--- FAIL: TestSeeds/31 "},
		"a subtest not listed":         {red + seed31, false, "--- FAIL: TestSeeds/319 "},
		"the shorter name not listed":  {red + seed319, false, "--- FAIL: TestSeeds/31 "},
		"a listed subtest passes":      {all + "TestSeeds/3" + rest, true, "--- PASS: TestSeeds/3 "},
		"an unknown subtest":           {all + "TestSeeds/32" + rest, false, "no test is named TestSeeds/32"},
		"a subtest of an unknown test": {all + "TestGone/3" + rest, false, "no test is named TestGone/3"},
		"a subtest listed twice":       {all + seed31, false, "listed twice"},
		"a pattern as a subtest":       {all + "TestSeeds/.*" + rest, false, "not \"TestName | command and seed"},
	} {
		module.write("KNOWN-RED.txt", test.list)
		output, err := module.runScript()
		require.Equal(t, test.passes, err == nil, "%s: %s", name, output)
		require.Contains(t, output, test.output, name)
	}
}
