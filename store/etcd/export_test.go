package etcd

import (
	"context"
	"net"
)

// SetDial makes the client open its connections with dial.
func SetDial(c *Client, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.transport.DialContext = dial
}
