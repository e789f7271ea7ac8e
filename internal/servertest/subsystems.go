package servertest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thistlequay/internal/emulator"
)

// StoreSection is the section of our settings for a store in this directory.
func StoreSection(directory, more string) string {
	return fmt.Sprintf("store:\n  directory: %s\n  fresh: true\n%s", directory, more)
}

// StartWithInterpreter starts another incarnation of the server with an interpreter of its own.
func (s *Server) StartWithInterpreter(t *testing.T, config string) *emulator.Interpreter {
	s.T.Helper()
	vm, err := emulator.NewInterpreter(4, 1)
	s.NoError(err)
	t.Cleanup(vm.Close)
	s.Config = strings.Replace(config, s.Interpreter.Address, vm.Address, 1)
	s.WriteFilesAndStart()
	s.WaitForLog("interpreter_up")
	return vm
}

// SendTimedBook sends one attempt of a request with an idempotency key, whose body asks for 1 ms of work.
func (c *RouterLink) SendTimedBook(slot uint16, key string) {
	c.Server.T.Helper()
	with := RequestParameters(c.Server.NewRequestID())
	with["HTTP_ONCE_KEY"] = key
	c.Send(slot, "/rpc/book", "1 entry "+key, with)
}

// WriteModule writes a plug-in of a kind and gives the path of its file.
func (s *Server) WriteModule(kind string) string {
	s.T.Helper()
	file := filepath.Join(s.T.TempDir(), kind+".wasm")
	s.NoError(os.WriteFile(file, emulator.PluginModule(kind), 0o600))
	return file
}

// TwoTenants is the part of the configuration that gives acme and beta these shares.
func TwoTenants(acme, beta float64) string {
	return fmt.Sprintf(`"Tenants":[{"Name":"acme","Share":%v},{"Name":"beta","Share":%v}]`, acme, beta)
}
