package brtest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports of the addresses that FreeAddress returns.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portsTaken is the number of ports that FreeAddress has tried in this process.
var portsTaken atomic.Uint32

// FreeAddress returns a loopback address, host:port, that nothing listens on. The
// address stays free until the test listens on it: its host is used by this process
// only, and its port is below the range of outgoing connections, so neither another
// test binary nor an outgoing connection can take it in between.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		port := firstPort + portsTaken.Add(1)%portCount
		address := fmt.Sprintf("%s:%d", processHost(os.Getpid()), port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("brtest: no free port")
	return ""
}

// processHost returns a loopback host of its own for each process ID below 1<<22,
// the largest value that Linux assigns. It is never 127.0.0.1.
func processHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
