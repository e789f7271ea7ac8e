package servertest

import (
	"fmt"
	"net"
	"strings"
)

// The functions of this file read the text of /proc/net/tcp, which lists the IPv4 connections of the system. It is not
// a snapshot: while other connections are opened and closed, a row may be missing or stand in the text twice.

// Column indexes in a row, counted from 0, and the minimum number of columns.
const (
	localAddressColumn = iota + 1
	remoteAddressColumn
	stateColumn
	queuesColumn
	minColumns
)

// timeWaitState is the code of the state TIME_WAIT.
const timeWaitState = "06"

// tcpQueues are the numbers of bytes that the system holds for one end of a connection.
type tcpQueues struct {
	unsent int // written at this end, and not yet received at the other
	unread int // received at this end, and not yet read
}

// findTCPQueues returns the queues of the end of a connection that has the given addresses. It reports whether the
// table lists that end. If there are several rows for it, the last one counts.
func findTCPQueues(table string, local, remote net.Addr) (queues tcpQueues, found bool) {
	localPort, remotePort := portSuffix(local), portSuffix(remote)
	for _, row := range tcpRows(table, localPort) {
		isLocal := strings.HasSuffix(row[localAddressColumn], localPort)
		if isLocal && strings.HasSuffix(row[remoteAddressColumn], remotePort) {
			_, err := fmt.Sscanf(row[queuesColumn], "%x:%x", &queues.unsent, &queues.unread)
			found = err == nil
		}
	}
	return queues, found
}

// holdsPortInTimeWait reports whether a connection with this local port is in the state TIME_WAIT.
func holdsPortInTimeWait(table string, local net.Addr) bool {
	localPort := portSuffix(local)
	for _, row := range tcpRows(table, localPort) {
		if strings.HasSuffix(row[localAddressColumn], localPort) && row[stateColumn] == timeWaitState {
			return true
		}
	}
	return false
}

// tcpRows returns the columns of the rows that contain the given text. Other rows are not split, because there may be
// tens of thousands.
func tcpRows(table, text string) [][]string {
	var rows [][]string
	for line := range strings.Lines(table) {
		if !strings.Contains(line, text) {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) >= minColumns {
			rows = append(rows, fields)
		}
	}
	return rows
}

// portSuffix returns the suffix that an address with the same port has in the table.
func portSuffix(address net.Addr) string {
	return fmt.Sprintf(":%04X", address.(*net.TCPAddr).Port)
}
