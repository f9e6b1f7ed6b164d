package agent

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/tun"
)

// ports are the open sockets of an agent.
type ports struct {
	data        packetio.Conn // to and from balancers and agents
	dataAddr    netip.AddrPort
	upstream    packetio.Sink   // IP packets to the upstream
	replies     packetio.Conn   // IP packets from the upstream; nil with a TUN device
	device      packetio.Source // TUN device; nil without one
	control     net.Listener
	http        net.Listener // for callers; nil without http_listen
	upstreamAPI net.Listener // for announcements of the upstream; nil without upstream_listen
	health      net.Listener // nil without health_address
	metrics     net.Listener // nil without metrics_address
}

// openPorts opens all configured sockets. On an error none stays open.
func openPorts(cfg *settings.Agent) (p ports, err error) {
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
	if err := p.openUpstream(cfg); err != nil {
		return p, err
	}
	for _, l := range []struct {
		field   string
		address netip.AddrPort
		open    *net.Listener
	}{
		{"http_listen", cfg.HTTPListen, &p.http},
		{"upstream_listen", cfg.UpstreamListen, &p.upstreamAPI},
		{"health_address", cfg.HealthAddress, &p.health},
		{"metrics_address", cfg.MetricsAddress, &p.metrics},
	} {
		if !l.address.IsValid() {
			continue
		}
		if *l.open, err = net.Listen("tcp", l.address.String()); err != nil {
			return p, errors.Wrap(err, "agent: "+l.field)
		}
	}
	p.control, err = net.Listen("tcp", cfg.ControlListen.String())
	return p, errors.Wrap(err, "agent: control_listen")
}

func (p *ports) openUpstream(cfg *settings.Agent) error {
	if cfg.PacketIO.Mode == settings.ModeTUN {
		device, err := tun.Open(cfg.PacketIO.Device)
		if err != nil {
			return err
		}
		// Replies leave by the VM's routing table, so the device is not read.
		d := packetio.NewDevice(device)
		p.device, p.upstream = d, d
		return nil
	}
	replies, err := packetio.ListenUDP(cfg.ReplyListen)
	if err != nil {
		return err
	}
	p.replies, p.upstream = replies, replies
	return nil
}

// closePackets closes the packet sockets, which ends the readers.
func (p *ports) closePackets() {
	if p.data != nil {
		_ = p.data.Close()
	}
	if p.replies != nil {
		_ = p.replies.Close()
	}
	if p.device != nil {
		_ = p.device.Close()
	}
}

func (p *ports) close() {
	p.closePackets()
	for _, l := range []net.Listener{p.control, p.http, p.upstreamAPI, p.health, p.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}
