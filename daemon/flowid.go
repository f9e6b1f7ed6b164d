package daemon

import "github.com/nutmegtrack/nutmegtrack/packet"

// FlowID returns the identifier of a flow in log messages: the address and port of the
// client and of the service, such as 100.64.0.7:40001>198.18.0.1:443.
func FlowID(k *packet.Key) string { return k.Source().String() + ">" + k.Destination().String() }
