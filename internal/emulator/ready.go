package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// WaitUntilServing waits until the server at an address answers a request for an unknown path with 404: then its
// interpreter is up.
func WaitUntilServing(address string) error {
	const (
		timeout  = 10 * time.Second
		interval = 20 * time.Millisecond
	)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		if answersUnknownPath(address) {
			return nil
		}
	}
	return fmt.Errorf("no server came up at %s", address)
}

func answersUnknownPath(address string) bool {
	connection, err := Dial(address)
	if err != nil {
		return false
	}
	defer connection.Close() //nolint:errcheck // the answer has been read
	if _, err := connection.Write(FastCGIRequest(1, "/rpc/none", "", nil)); err != nil {
		return false
	}
	response, err := connection.ReadResponse()
	return err == nil && response.Status == http.StatusNotFound
}
