package soak

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// On a busy machine the goroutine that reads a connection may get a core hundreds of milliseconds after the system has
// received the data, which is no delay of the program under test. The functions of this file ask the system instead.

const (
	// tcpCloseWait is the state of a socket that has received the end of its connection (TCP_CLOSE_WAIT of Linux).
	tcpCloseWait = 8
	// receiveTimeGranularity is the largest tick of Linux, in which it counts the time since data was received.
	receiveTimeGranularity = 10 * time.Millisecond
)

// tcpInfo returns what the system knows of a connection, or nil if it is closed.
func tcpInfo(connection net.Conn) (info *unix.TCPInfo) {
	socket, isSocket := connection.(syscall.Conn)
	if !isSocket {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(descriptor uintptr) { // fails only if the connection is closed
		info, err = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			info = nil
		}
	})
	return info
}

// receivedTime returns when the system received the data that was read from a connection by the time now. The result is
// never too early, and too late if the system has received more data since.
func receivedTime(connection net.Conn, now time.Time) time.Time {
	info := tcpInfo(connection)
	if info == nil {
		return now
	}
	age := time.Duration(info.Last_data_recv)*time.Millisecond - receiveTimeGranularity
	return now.Add(-max(0, age))
}

// hasReceivedEnd reports whether the system has received the end of a connection, read or not.
func hasReceivedEnd(connection net.Conn) bool {
	info := tcpInfo(connection)
	return info != nil && info.State == tcpCloseWait
}
