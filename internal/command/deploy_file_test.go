package command_test

import (
	"bytes"
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/servertest"
)

// readDeployFile returns the values in deploy/balancer.toml by key, without quotes. If a key occurs more than once, its
// first value counts.
func readDeployFile(t *testing.T, root string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	require.NoError(t, err)
	values := map[string]string{}
	for _, line := range strings.Split(string(text), "\n") {
		key, value, found := strings.Cut(line, " = ")
		_, isKnown := values[key]
		if found && !isKnown {
			values[key] = strings.Trim(value, `"`)
		}
	}
	return values
}

// requireLinkedAgainstLibc fails the test unless the program is dynamically linked against the C library.
func requireLinkedAgainstLibc(t *testing.T, path string) {
	t.Helper()
	program, err := elf.Open(path)
	require.NoError(t, err)
	defer servertest.CloseQuietly(program)
	libraries, err := program.ImportedLibraries()
	require.NoError(t, err)
	isLibc := func(library string) bool { return strings.HasPrefix(library, "libc.so") }
	isInterpreter := func(header *elf.Prog) bool { return header.Type == elf.PT_INTERP }
	require.True(t, slices.ContainsFunc(libraries, isLibc), libraries)
	require.True(t, slices.ContainsFunc(program.Progs, isInterpreter))
}

// requireNoChildren fails the test if a thread of a process has child processes. The process is given by its directory
// in /proc.
func requireNoChildren(t *testing.T, processDir string) {
	t.Helper()
	childrenFiles, err := filepath.Glob(processDir + "/task/*/children")
	require.NoError(t, err)
	for _, childrenFile := range childrenFiles {
		children, err := os.ReadFile(childrenFile)
		if err == nil { // the thread may have exited since the directory was listed
			require.Empty(t, bytes.TrimSpace(children))
		}
	}
}

// requireNoFileOpenForWriting fails the test if a process has a file open for writing, other than /dev/null. The
// process is given by its directory in /proc.
func requireNoFileOpenForWriting(t *testing.T, processDir string) {
	t.Helper()
	descriptors, err := os.ReadDir(processDir + "/fd")
	require.NoError(t, err)
	for _, descriptor := range descriptors {
		path, err := os.Readlink(filepath.Join(processDir, "fd", descriptor.Name()))
		if err != nil || !strings.HasPrefix(path, "/") || path == "/dev/null" {
			continue // closed meanwhile, not a file (a socket, a pipe or an event descriptor), or /dev/null
		}
		info, err := os.ReadFile(filepath.Join(processDir, "fdinfo", descriptor.Name()))
		require.NoError(t, err)
		_, flags, _ := strings.Cut(string(info), "flags:")
		mode := strings.Fields(flags)[0]
		// The access mode is in the lower two bits of the last octal digit. It is 0, read only, for the digits 0 and 4.
		require.Contains(t, "04", mode[len(mode)-1:], "%s is open for writing", path)
	}
}

// TestDeployFileBuildsAndRunsOneReadOnlyProcess checks that the build command of the deploy file produces a program
// that is dynamically linked against the C library, and that the run command results in a single process that has no
// child processes and no file open for writing.
func TestDeployFileBuildsAndRunsOneReadOnlyProcess(t *testing.T) {
	server := servertest.New(t)
	root, err := filepath.Abs("../..")
	server.NoError(err)
	deploy := readDeployFile(t, root)
	server.Contains(deploy, "build")
	server.Contains(deploy, "run")

	buildDir := t.TempDir()
	build := exec.Command("/bin/sh", "-c", strings.ReplaceAll(deploy["build"], "bin", buildDir+"/bin"))
	build.Dir = root
	out, err := build.CombinedOutput()
	server.NoError(err, string(out))
	server.Contains(deploy["build"], "-linkmode=external")
	requireLinkedAgainstLibc(t, buildDir+"/bin/thistlequay")

	server.Equal("exec bin/thistlequay", deploy["run"])
	server.Path = filepath.Join(buildDir, "config.json")
	server.WriteFiles()
	run := exec.Command("/bin/sh", "-c", deploy["run"])
	run.Dir = buildDir
	run.Stderr = &clustertest.LogBuffer{}
	run.Env = append(os.Environ(), "PROXY_CONFIG="+server.Path, "TMPDIR="+t.TempDir())
	server.NoError(run.Start())
	t.Cleanup(func() {
		_ = run.Process.Kill() // fails if the process has already exited
		_ = run.Wait()         // the process was killed, so its exit status says nothing
	})
	interpreter := server.NextInterpreterLink(0)
	server.ReadLine(interpreter.Link)
	if runtime.GOOS != "linux" {
		return
	}
	processDir := filepath.Join("/proc", strconv.Itoa(run.Process.Pid))
	executable, err := os.Readlink(processDir + "/exe")
	server.NoError(err)
	server.Equal("thistlequay", filepath.Base(executable)) // exec has replaced the shell with the program
	requireNoChildren(t, processDir)
	requireNoFileOpenForWriting(t, processDir)
}
