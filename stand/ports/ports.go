// Package ports chooses the ports of programs that are started later.
package ports

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports are chosen from a range below those that systems give out by themselves, so
// that no outgoing connection takes one before its program listens.
const (
	first = 10000
	count = 20000
)

// given is how many ports this process has chosen or found taken.
var given atomic.Uint64

// Choose returns n addresses of the form IP:port on which nothing listens. No port is
// chosen again by the same process before all others of the range were.
func Choose(ip string, n int) ([]string, error) {
	var c net.ListenConfig
	list := make([]string, 0, n)
	for range count {
		if len(list) == n {
			return list, nil
		}
		// Processes start apart from each other, as several may choose at once.
		port := first + (uint64(os.Getpid())*1009+given.Add(1))%count
		address := net.JoinHostPort(ip, strconv.FormatUint(port, 10))
		l, err := c.Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		list = append(list, address)
	}
	return nil, errors.Errorf("no free port at %s", ip)
}
