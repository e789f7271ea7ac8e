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
	requestTimeout = 2 * time.Second // for each part of a request to the status address, on both sides
	maxHeaderBytes = 4 << 10
	maxStatusBytes = 8 << 20
	membersPath    = "/members"
)

// ServeStatus answers HTTP requests on an address until Close, without waiting: Status under /members, and what the
// functions in more return under their paths, all as JSON. It shows no key and changes nothing.
func (n *Node) ServeStatus(address string, more map[string]func() (any, error)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membersPath, serveJSON(func() (any, error) { return n.Status() }))
	for path, status := range more {
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
	// Close does not wait for these two: they touch nothing that it takes away, and end soon after it.
	go func() { _ = server.Serve(listener) }() // always ends in an error: that the server was closed
	go func() {
		<-n.done
		_ = server.Close() // its connections need no farewell
	}()
	return nil
}

// serveJSON returns a handler that answers with what status returns, or with 503 if that is an error.
func serveJSON(status func() (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		body, err := status()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body) // fails if the client is gone
	}
}

// FetchStatus asks the server at a status address how it sees the cluster.
func FetchStatus(address string) (Status, error) {
	var status Status
	err := FetchJSON(address, membersPath, &status)
	return status, err
}

// FetchJSON asks the server at a status address for what it tells under a path, and decodes it.
func FetchJSON(address, path string, into any) error {
	client := http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it was only read
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", address, response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(into)
}
