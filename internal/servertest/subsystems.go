package servertest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thistlequay/internal/emulator"
)

// StoreSection returns the section of Server.Service for a store in this directory; settings are further lines of it.
func StoreSection(directory, settings string) string {
	return fmt.Sprintf("store:\n  directory: %s\n  fresh: true\n%s", directory, settings)
}

// StartWithInterpreter starts another incarnation of the server, with an emulated interpreter of four cores of its
// own, and waits until the program is connected to it. config is Config as New made it. The interpreter is closed at
// the end of t.
func (s *Server) StartWithInterpreter(t *testing.T, config string) *emulator.Interpreter {
	s.T.Helper()
	interpreter, err := emulator.NewInterpreter(4, 1)
	s.NoError(err)
	t.Cleanup(interpreter.Close)
	s.Config = strings.Replace(config, s.Interpreter.Address, interpreter.Address, 1)
	s.WriteFilesAndStart()
	s.WaitForLog("interpreter_up")
	return interpreter
}

// WriteModule writes the plug-in that emulator.PluginModule has under this name to a new file and returns its path.
func (s *Server) WriteModule(kind string) string {
	s.T.Helper()
	file := filepath.Join(s.T.TempDir(), kind+".wasm")
	s.NoError(os.WriteFile(file, emulator.PluginModule(kind), 0o600))
	return file
}

// TwoTenants returns the part of the configuration that gives acme and beta these shares, which add up to 1 at most.
func TwoTenants(acme, beta float64) string {
	return fmt.Sprintf(`"Tenants":[{"Name":"acme","Share":%v},{"Name":"beta","Share":%v}]`, acme, beta)
}
