package balancer

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/tun"
)

// ports holds the open sockets of a balancer.
type ports struct {
	data     packetio.Conn // sends packets to agents and receives their hints
	dataAddr netip.AddrPort
	device   packetio.Source // TUN device that receives IP packets; nil if data receives them
	clients  packetio.Conn   // client packets in a datagram format; nil for IP packets
	control  net.Listener
	health   net.Listener
	metrics  net.Listener // nil without metrics_address
}

// clientSource returns the source of client packets.
func (p *ports) clientSource() packetio.Source {
	switch {
	case p.clients != nil:
		return p.clients
	case p.device != nil:
		return p.device
	}
	return p.data
}

// openPorts opens the sockets that the settings name. After an error none is left open.
func openPorts(cfg *settings.Balancer) (p ports, err error) {
	defer func() {
		if err != nil {
			p.close()
			p = ports{}
		}
	}()
	data, err := packetio.ListenUDP(cfg.DataAddress)
	if err != nil {
		return p, err
	}
	p.data, p.dataAddr = data, data.LocalAddr()
	if err := data.SetMaxAge(packetio.MaxAge); err != nil {
		return p, err
	}
	if cfg.PacketIO.Mode == settings.ModeTUN {
		device, err := tun.Open(cfg.PacketIO.Device)
		if err != nil {
			return p, err
		}
		p.device = packetio.NewDevice(device)
	}
	if cfg.ClientAddress.IsValid() {
		clients, err := packetio.ListenUDP(cfg.ClientAddress)
		if err != nil {
			return p, err
		}
		p.clients = clients
		if err := clients.SetMaxAge(packetio.MaxAge); err != nil {
			return p, err
		}
	}
	if p.control, err = net.Listen("tcp", cfg.ControlListen.String()); err != nil {
		return p, errors.Wrap(err, "balancer: control_listen")
	}
	if p.health, err = net.Listen("tcp", cfg.HealthAddress.String()); err != nil {
		return p, errors.Wrap(err, "balancer: health_address")
	}
	if cfg.MetricsAddress.IsValid() {
		if p.metrics, err = net.Listen("tcp", cfg.MetricsAddress.String()); err != nil {
			return p, errors.Wrap(err, "balancer: metrics_address")
		}
	}
	return p, nil
}

// closePackets closes the sockets of the packet path, which ends the readers.
func (p *ports) closePackets() {
	if p.device != nil {
		_ = p.device.Close()
	}
	if p.clients != nil {
		_ = p.clients.Close()
	}
	if p.data != nil {
		_ = p.data.Close()
	}
}

func (p *ports) close() {
	p.closePackets()
	for _, l := range []net.Listener{p.control, p.health, p.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}
