// Command 3 shows that after a restart with the store, a client that uses the key of another's request with a body of
// its own is served the other's result, and that the repeat of the request itself is turned down.
package main

import (
	"fmt"
	"path/filepath"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/review/kit"
)

const folder = "review/3"

// The keys of the requests: one that a bad client uses too, and one that nobody else uses.
const (
	sharedKey  = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	controlKey = "00aa6e1a2b3d4c59a8b7c6d5e4f30299"
)

func main() { kit.Main(folder, run) }

func run(c *kit.Case) error {
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
	server.Index, server.Directory = index.Address, directory.Address
	server.Settings = kit.Settings(1, 12)
	store := fmt.Sprintf("store:\n  directory: %s\n", filepath.Join(c.TempDir, "store"))
	server.Service = store + "  fresh: true\n" // for the first start only
	first, err := startLife(server)
	if err != nil {
		return err
	}
	defer first.Close()
	if err := firstLife(c, server); err != nil {
		return err
	}
	countRuns(c, first, "in the first life")
	if !c.Trouble {
		return secondLife(c, server)
	}
	// The machine is killed: the server with its interpreter.
	server.Kill()
	first.Close()
	server.Service = store
	second, err := startLife(server)
	if err != nil {
		return err
	}
	defer second.Close()
	err = secondLife(c, server)
	countRuns(c, second, "in the second life")
	return err
}

// startLife starts an interpreter with one core and the server.
func startLife(server *kit.Server) (*emulator.Interpreter, error) {
	interpreter, err := emulator.NewInterpreter(1, 1)
	if err != nil {
		return nil, err
	}
	server.Interpreter = interpreter.Address
	return interpreter, server.Start()
}

// request returns a try of a keyed request.
func request(sender, key, body string) kit.Request {
	return kit.Request{Class: kit.ClassWrite, Tenant: kit.Tenant, Budget: 7 * time.Second, Sender: sender, Key: key,
		Body: body}
}

// The bodies: of the request itself, of the bad client, and of the request with the key that nobody else uses.
const (
	ownBody     = "20 delivery 4711 counted 12"
	badBody     = "20 something else"
	controlBody = "20 delivery 4712 counted 3"
)

// firstLife sends a look-up that keeps the core busy, a keyed request that waits for it, and a bad client's request
// with the same key and another body. The keyed request is served once the core is free.
func firstLife(c *kit.Case, server *kit.Server) error {
	router, err := c.Connect(server.Address)
	if err != nil {
		return err
	}
	defer router.Close()
	bad, err := c.Connect(server.Address)
	if err != nil {
		return err
	}
	defer bad.Close()
	busy := router.Send(kit.Request{Class: kit.ClassRead, Tenant: kit.Tenant, Budget: 7 * time.Second,
		Sender: "router", Body: "1000 stock on hand"})
	time.Sleep(200 * time.Millisecond)
	own := router.Send(request("router", sharedKey, ownBody))
	control := router.Send(request("router", controlKey, controlBody))
	time.Sleep(100 * time.Millisecond)
	judgeBad(c, bad.Do(request("bad client", sharedKey, badBody)))
	busy.Wait()
	for _, try := range []*kit.Pending{own, control} {
		if answer := try.Wait(); !answer.Served() {
			return fmt.Errorf("the keyed request %s was not served: %d", answer.ID, answer.Status)
		}
	}
	time.Sleep(200 * time.Millisecond) // the record of the runs' ends reaches the disk
	return nil
}

// secondLife has the keyed requests come again within their window, and the bad client's request too.
func secondLife(c *kit.Case, server *kit.Server) error {
	router, err := c.Connect(server.Address)
	if err != nil {
		return err
	}
	defer router.Close()
	bad, err := c.Connect(server.Address)
	if err != nil {
		return err
	}
	defer bad.Close()
	control := router.Do(request("router, again", controlKey, controlBody))
	if control.Body != "result of "+controlBody {
		return fmt.Errorf("the repeat with a key of its own did not get the stored result: %d", control.Status)
	}
	judgeBad(c, bad.Do(request("bad client, again", sharedKey, badBody)))
	if own := router.Do(request("router, again", sharedKey, ownBody)); !own.Served() {
		c.Record("beside the rule: the repeat of the request that ran got %d, not the stored result", own.Status)
	}
	return nil
}

// judgeBad checks the rule: a client with the key of a keyed request and another body is not answered 'served'.
func judgeBad(c *kit.Case, answer kit.Answer) {
	if answer.Served() {
		c.Broken("the bad client's request %s with body %q was answered 'served' with %q, another's result", answer.ID,
			badBody, answer.Body)
	}
}

// countRuns records what the interpreter ran.
func countRuns(c *kit.Case, interpreter *emulator.Interpreter, when string) {
	interpreter.Inspect(func(v *emulator.Interpreter) {
		for body, runs := range v.RunsByBody {
			c.Record("%s the interpreter ran body=%q %d times", when, body, runs)
		}
	})
}
