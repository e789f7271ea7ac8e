package servertest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thistlequay/internal/emulator"
)

// StoreSection returns the store section of Server.Service for a directory. settings are further lines of the section.
func StoreSection(directory, settings string) string {
	return fmt.Sprintf("store:\n  directory: %s\n  fresh: true\n%s", directory, settings)
}

// StartWithInterpreter starts a new incarnation of the server with its own emulated interpreter of four cores, and
// waits until the program has connected to the interpreter. config is Config as New created it. The interpreter is
// closed at the end of t.
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

// WriteModule writes the plug-in module that emulator.PluginModule returns for kind to a new file and returns the path.
func (s *Server) WriteModule(kind string) string {
	s.T.Helper()
	file := filepath.Join(s.T.TempDir(), kind+".wasm")
	s.NoError(os.WriteFile(file, emulator.PluginModule(kind), 0o600))
	return file
}

// TwoTenants returns the tenants section of the configuration for the tenants acme and beta with the given shares,
// whose sum must not exceed 1.
func TwoTenants(acme, beta float64) string {
	return fmt.Sprintf(`"Tenants":[{"Name":"acme","Share":%v},{"Name":"beta","Share":%v}]`, acme, beta)
}
