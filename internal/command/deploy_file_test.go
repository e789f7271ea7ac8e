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

	"thistlequay/internal/clustertest"
	"thistlequay/internal/servertest"
)

// The build command of the deploy file links against the C library, and its run command leaves one process that
// starts no other and opens no file for writing.
func TestDeployFileBuildsAndRunsOneReadOnlyProcess(t *testing.T) {
	server := servertest.New(t)
	root, err := filepath.Abs("../..")
	server.NoError(err)
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	server.NoError(err)
	value := func(key string) string {
		for _, line := range strings.Split(string(text), "\n") {
			if after, is := strings.CutPrefix(line, key+" = "); is {
				return strings.Trim(after, `"`)
			}
		}
		server.FailNow("no " + key)
		return ""
	}
	folder := t.TempDir()
	build := exec.Command("/bin/sh", "-c", strings.ReplaceAll(value("build"), "bin", folder+"/bin"))
	build.Dir = root
	out, err := build.CombinedOutput()
	server.NoError(err, string(out))
	server.Contains(value("build"), "-linkmode=external")
	program, err := elf.Open(folder + "/bin/thistlequay")
	server.NoError(err)
	defer servertest.CloseQuietly(program)
	linked, err := program.ImportedLibraries()
	server.NoError(err)
	server.True(slices.ContainsFunc(linked, func(l string) bool { return strings.HasPrefix(l, "libc.so") }), linked)
	server.True(slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }))
	server.Equal("exec bin/thistlequay", value("run"))
	server.Path = filepath.Join(folder, "config.json")
	server.WriteFiles()
	run := exec.Command("/bin/sh", "-c", value("run"))
	run.Dir = folder
	run.Stderr = &clustertest.LogBuffer{}
	run.Env = append(os.Environ(), "PROXY_CONFIG="+server.Path, "TMPDIR="+t.TempDir())
	server.NoError(run.Start())
	defer func() {
		_ = run.Process.Kill()
		_ = run.Wait()
	}()
	interpreter := server.NextInterpreterLink(0)
	server.ReadLine(interpreter.Link)
	if runtime.GOOS != "linux" {
		return
	}
	proc := filepath.Join("/proc", strconv.Itoa(run.Process.Pid))
	name, err := os.Readlink(proc + "/exe")
	server.NoError(err)
	server.Equal("thistlequay", filepath.Base(name)) // the shell has replaced itself by the program
	tasks, err := filepath.Glob(proc + "/task/*/children")
	server.NoError(err)
	for _, task := range tasks {
		children, err := os.ReadFile(task)
		if err == nil {
			server.Empty(bytes.TrimSpace(children))
		}
	}
	open, err := os.ReadDir(proc + "/fd")
	server.NoError(err)
	for _, fd := range open {
		to, err := os.Readlink(filepath.Join(proc, "fd", fd.Name()))
		if err != nil || !strings.HasPrefix(to, "/") || to == "/dev/null" {
			continue // a socket, a pipe, an event
		}
		info, err := os.ReadFile(filepath.Join(proc, "fdinfo", fd.Name()))
		server.NoError(err)
		_, flags, _ := strings.Cut(string(info), "flags:")
		mode := strings.Fields(flags)[0]
		// the lower two bits of the last octal digit are the access mode: 0, read only
		server.Contains("04", mode[len(mode)-1:], "%s is open for writing", to)
	}
}
