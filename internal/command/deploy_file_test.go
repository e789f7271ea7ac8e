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

// deployFile returns the values of deploy/balancer.toml by their keys, without quotes; of a key's values the first.
func deployFile(t *testing.T, root string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	require.NoError(t, err)
	values := map[string]string{}
	for _, line := range strings.Split(string(text), "\n") {
		key, value, found := strings.Cut(line, " = ")
		_, known := values[key]
		if found && !known {
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

// requireNoChildren fails the test where a thread of the process, whose folder in /proc is given, has started another.
func requireNoChildren(t *testing.T, process string) {
	t.Helper()
	lists, err := filepath.Glob(process + "/task/*/children")
	require.NoError(t, err)
	for _, list := range lists {
		children, err := os.ReadFile(list)
		if err == nil { // the thread may have ended
			require.Empty(t, bytes.TrimSpace(children))
		}
	}
}

// requireNoFileOpenForWriting fails the test where the process, whose folder in /proc is given, has one.
func requireNoFileOpenForWriting(t *testing.T, process string) {
	t.Helper()
	descriptors, err := os.ReadDir(process + "/fd")
	require.NoError(t, err)
	for _, descriptor := range descriptors {
		path, err := os.Readlink(filepath.Join(process, "fd", descriptor.Name()))
		if err != nil || !strings.HasPrefix(path, "/") || path == "/dev/null" {
			continue // a socket, a pipe, an event
		}
		info, err := os.ReadFile(filepath.Join(process, "fdinfo", descriptor.Name()))
		require.NoError(t, err)
		_, flags, _ := strings.Cut(string(info), "flags:")
		mode := strings.Fields(flags)[0]
		// The lower two bits of the last octal digit are the access mode: 0, read only.
		require.Contains(t, "04", mode[len(mode)-1:], "%s is open for writing", path)
	}
}

// The build command of the deploy file makes a program that is dynamically linked against the C library. Its run
// command leaves one process, which starts no other and opens no file for writing.
func TestDeployFileBuildsAndRunsOneReadOnlyProcess(t *testing.T) {
	server := servertest.New(t)
	root, err := filepath.Abs("../..")
	server.NoError(err)
	deploy := deployFile(t, root)
	server.Contains(deploy, "build")
	server.Contains(deploy, "run")

	folder := t.TempDir()
	build := exec.Command("/bin/sh", "-c", strings.ReplaceAll(deploy["build"], "bin", folder+"/bin"))
	build.Dir = root
	out, err := build.CombinedOutput()
	server.NoError(err, string(out))
	server.Contains(deploy["build"], "-linkmode=external")
	requireLinkedAgainstLibc(t, folder+"/bin/thistlequay")

	server.Equal("exec bin/thistlequay", deploy["run"])
	server.Path = filepath.Join(folder, "config.json")
	server.WriteFiles()
	run := exec.Command("/bin/sh", "-c", deploy["run"])
	run.Dir = folder
	run.Stderr = &clustertest.LogBuffer{}
	run.Env = append(os.Environ(), "PROXY_CONFIG="+server.Path, "TMPDIR="+t.TempDir())
	server.NoError(run.Start())
	t.Cleanup(func() {
		_ = run.Process.Kill() // it fails where the process has ended
		_ = run.Wait()         // the process was killed
	})
	interpreter := server.NextInterpreterLink(0)
	server.ReadLine(interpreter.Link)
	if runtime.GOOS != "linux" {
		return
	}
	process := filepath.Join("/proc", strconv.Itoa(run.Process.Pid))
	name, err := os.Readlink(process + "/exe")
	server.NoError(err)
	server.Equal("thistlequay", filepath.Base(name)) // the shell has replaced itself by the program
	requireNoChildren(t, process)
	requireNoFileOpenForWriting(t, process)
}
