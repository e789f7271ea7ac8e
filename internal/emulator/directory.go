package emulator

import (
	"io"
	"net/http"
)

// Directory emulates the directory: it answers every load report with status 204.
type Directory struct{ *Listener }

// NewDirectory starts a directory on a free loopback address. It accepts connections until Close.
func NewDirectory() (*Directory, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	go func() {
		for link := range listener.Links {
			go serveReports(link)
		}
	}()
	return &Directory{listener}, nil
}

// serveReports answers the load reports of one connection until the connection ends.
func serveReports(link *Link) {
	defer link.drop()
	for {
		request, err := http.ReadRequest(link.Reader)
		if err != nil {
			return
		}
		// An error needs no handling here: after a truncated body, reading the next request fails.
		_, _ = io.Copy(io.Discard, request.Body)
		link.send([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	}
}
