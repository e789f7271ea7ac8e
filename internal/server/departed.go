package server

import "golang.org/x/sys/unix"

// departureCheck finds the clients that have closed their connection. The engine reports a close only after everything
// that the client sent before has been read, which takes several batches if that is much; without this check, requests
// that were read first would run although nobody waits for them.
type departureCheck struct {
	candidates  []*routerConnection // with complete requests, on which data was received in this batch
	descriptors []unix.PollFd       // reused in each batch
}

// add has a connection checked at the end of the batch.
func (d *departureCheck) add(candidate *routerConnection) {
	if !candidate.isDepartureChecked {
		candidate.isDepartureChecked = true
		d.candidates = append(d.candidates, candidate)
	}
}

// cancelDeparted cancels the requests of clients that have closed their connection. The engine closes the connections
// once it has read them. If the system cannot tell, the requests stay as they are.
func (d *departureCheck) cancelDeparted() {
	if len(d.candidates) == 0 {
		return
	}
	d.descriptors = d.descriptors[:0]
	for _, candidate := range d.candidates {
		candidate.isDepartureChecked = false
		descriptor := -1 // ignored by the system
		if candidate.conn != nil {
			descriptor = candidate.conn.Fd()
		}
		d.descriptors = append(d.descriptors, unix.PollFd{Fd: int32(descriptor), Events: unix.POLLRDHUP})
	}
	found, err := unix.Poll(d.descriptors, 0)
	if err == nil && found > 0 {
		for i, candidate := range d.candidates {
			if d.descriptors[i].Revents&unix.POLLRDHUP != 0 {
				candidate.cancelRequests()
			}
		}
	}
	clear(d.candidates) // so that the connections can be garbage collected
	d.candidates = d.candidates[:0]
}
