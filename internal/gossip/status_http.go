package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	requestTimeout = 2 * time.Second // for each phase of a status request, on both client and server
	maxHeaderBytes = 4 << 10
	maxStatusBytes = 8 << 20
	membersPath    = "/members"
)

// ServeStatus answers HTTP requests at an address until Close, and returns without waiting. It serves Status under
// /members and the results of the functions in extraPaths under their paths, all as JSON. It reveals no key and changes
// nothing.
func (n *Node) ServeStatus(address string, extraPaths map[string]func() (any, error)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membersPath, serveJSON(func() (any, error) { return n.Status() }))
	for path, status := range extraPaths {
		mux.HandleFunc("GET "+path, serveJSON(status))
	}
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       requestTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	// Close does not wait for these goroutines: they use nothing that Close releases, and end soon after it.
	limited := &limitedListener{Listener: listener, limit: connectionLimit{max: maxStatusConnections}}
	go func() { _ = server.Serve(limited) }() // always returns an error, normally http.ErrServerClosed
	go func() {
		<-n.done
		_ = server.Close() // status connections need no graceful shutdown
	}()
	return nil
}

// serveJSON returns a handler that responds with the result of status, or with 503 if status returns an error.
func serveJSON(status func() (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		body, err := status()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body) // fails only if the client is gone
	}
}

// FetchStatus fetches the cluster status from the server at a status address.
func FetchStatus(address string) (Status, error) {
	var status Status
	err := FetchJSON(address, membersPath, &status)
	return status, err
}

// FetchJSON fetches a path from the server at a status address and decodes the JSON response into target.
func FetchJSON(address, path string, target any) error {
	client := http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing is lost: the body was only read
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status address %s responded with %s", address, response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(target)
}
