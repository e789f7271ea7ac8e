package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// WaitUntilServing waits until the server at the address answers a request for an unknown path with status 404, which
// means that its interpreter is connected. It returns an error if that does not happen within 10 seconds.
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
	return fmt.Errorf("server at %s was not ready in time", address)
}

// answersUnknownPath reports whether the server at the address answers a request for an unknown path with status 404.
func answersUnknownPath(address string) bool {
	connection, err := Dial(address)
	if err != nil {
		return false
	}
	defer connection.Close() //nolint:errcheck // the response has been read
	if _, err := connection.Write(FastCGIRequest(1, "/rpc/none", "", nil)); err != nil {
		return false
	}
	response, err := connection.ReadResponse()
	return err == nil && response.Status == http.StatusNotFound
}
