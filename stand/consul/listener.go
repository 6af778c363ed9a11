package consul

import (
	"net"
	"sync"
)

// closeOnce is a listener that may be closed several times: by a fault, and by the HTTP server
// until its loop has noticed.
type closeOnce struct {
	net.Listener
	once sync.Once
	err  error
}

// Close closes the listener, once. It always returns the error of the first call.
func (c *closeOnce) Close() error {
	c.once.Do(func() { c.err = c.Listener.Close() })
	return c.err
}
