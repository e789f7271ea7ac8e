// Command 2 shows that the verdict of a plug-in, which its settings permit, kills the server.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/review/kit"
)

const folder = "review/2"

// waitAfter is how long the server is watched after the request that the plug-in moves.
const waitAfter = 3 * time.Second

const pluginSection = `plugins:
  memory_mb: 80
  list:
    - name: delivery-rule
      file: %s
      memory_kb: 4096
      code_kb: 4096
      call: 50ms
      hooks: [read]
      categories: [lagersok]
      may: [categorise]
      to: [mottak]
      otherwise: pass
`

func main() { kit.Main(folder, run) }

func run(c *kit.Case) error {
	interpreter, err := emulator.NewInterpreter(6, 1)
	if err != nil {
		return err
	}
	defer interpreter.Close()
	index, err := emulator.NewIndex()
	if err != nil {
		return err
	}
	directory, err := emulator.NewDirectory()
	if err != nil {
		return err
	}
	server, err := c.NewServer("n1")
	if err != nil {
		return err
	}
	server.Interpreter, server.Index, server.Directory = interpreter.Address, index.Address, directory.Address
	server.Settings = kit.Settings(6, 12)
	module, err := filepath.Abs(filepath.Join("bin", "review2-rule.wasm"))
	if err != nil {
		return err
	}
	server.Service = fmt.Sprintf(pluginSection, module)
	if err := server.Start(); err != nil {
		return err
	}
	err = sendAndWatch(c, server)
	interpreter.Inspect(func(v *emulator.Interpreter) {
		for id, runs := range v.RunsByRequest {
			c.Record("the interpreter ran %s %d times", id, runs)
		}
	})
	return err
}

// panicLines returns the message of a panic and the functions of the project that it went through.
func panicLines(log string) string {
	var found []string
	for _, line := range strings.Split(log, "\n") {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "thistlequay/") {
			found = append(found, line)
		}
	}
	return strings.Join(found, " | ")
}

// sendAndWatch sends three requests that are in progress, and then one that the plug-in moves to the class mottak
// (without trouble: one that it leaves alone). All four must be answered, and the server must go on.
func sendAndWatch(c *kit.Case, server *kit.Server) error {
	router, err := c.Connect(server.Address)
	if err != nil {
		return err
	}
	defer router.Close()
	read := kit.Request{Class: kit.ClassRead, Tenant: kit.Tenant, Budget: 7 * time.Second, Sender: "router"}
	pending := []*kit.Pending{}
	for i := range 3 {
		request := read
		request.Body = fmt.Sprintf("1000 stock on hand %d", i)
		pending = append(pending, router.Send(request))
	}
	write := read
	write.Class = kit.ClassWrite
	write.Body = "1000 count of a shelf"
	write.Key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	pending = append(pending, router.Send(write))
	time.Sleep(200 * time.Millisecond)
	moved := read
	moved.Body = "20 stock on hand"
	if c.Trouble {
		moved.Body = "20 stock on hand for a delivery"
	}
	pending = append(pending, router.Send(moved))
	for _, try := range pending {
		if answer := try.Wait(); answer.Status == 0 {
			c.Broken("request %s, which the server had read, got no answer: %v", answer.ID, answer.Err)
		}
	}
	select {
	case <-server.Exited():
		c.Broken("the server ended by itself: %s; its log has: %s", server.ExitText(), panicLines(server.LogText()))
	case <-time.After(waitAfter):
		c.Record("the server runs on")
	}
	return nil
}
