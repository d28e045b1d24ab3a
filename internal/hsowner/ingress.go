package hsowner

import (
	"net/netip"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// handlePacket dispatches a packet by the kind of its steering option. Steering
// options are accepted only from listed entry hosts.
func (c *Core) handlePacket(p *hspacket.Packet, from netip.Addr) {
	if p.Steering.Kind == hspacket.KindNone {
		c.fromFabric(p, from)
		return
	}
	if from != c.peer {
		if _, listed := c.view.HostAt(from); !listed {
			c.count(hscode.PeerUnknown)
			return
		}
		c.peer = from
	}
	c.recordLoad(&p.Steering)
	switch p.Steering.Kind {
	case hspacket.KindForwardRanked:
		c.handleForwardRanked(p)
	case hspacket.KindForwardTracked, hspacket.KindTrial:
		c.handleForwardTracked(p, from)
	case hspacket.KindReply:
		c.handleForwardedReply(p)
	case hspacket.KindQuery:
		c.handleQuery(p, from)
	case hspacket.KindHit:
		c.handleHit(p)
	case hspacket.KindMiss:
		c.handleMiss(p, from)
	}
}

// fromFabric handles a packet as ingress, which needs no flow state.
func (c *Core) fromFabric(p *hspacket.Packet, from netip.Addr) {
	if from != c.gateway {
		if t, ok := c.view.TargetAt(from); ok {
			c.routeReply(p, t)
			return
		}
		c.gateway = from
	}
	c.routeCallerPacket(p, 0)
}

// routeCallerPacket ranks the targets for the packet's flow and passes the
// packet to the owner of the first choice.
func (c *Core) routeCallerPacket(p *hspacket.Packet, hops uint8) {
	x := c.newCallerPacket(p)
	s := c.view.Service(x.key.ServiceKey())
	if s == nil {
		c.count(hscode.FlowNoService)
		return
	}
	first := c.view.FirstChoice(s, x.hash)
	if first < 0 {
		c.refuse(x, hscode.FlowNoTarget)
		return
	}
	c.routeToFirstChoice(x, s, first, hops)
}

func (c *Core) routeToFirstChoice(x *callerPacket, s *hsrank.Service, first int, hops uint8) {
	owner := c.view.Targets[first].Owner
	if owner < 0 || owner == c.self() || hops >= maxHops {
		c.fromCaller(x, s, c.targetIndex[first], hops)
		return
	}
	c.forward(owner, hspacket.Steering{
		Kind:   hspacket.KindForwardRanked,
		Hops:   hops + 1,
		Boot:   c.cfg.BootNumber,
		Target: uint64(c.view.Targets[first].ID),
	}, x.inner)
}

// handleForwardRanked handles a caller's packet for which another ingress chose
// the target. That choice stands, so that hosts with different views do not
// forward a packet in a loop. The targets are ranked again only if the chosen
// one is not listed here, or is no longer live and the flow has no entry; the
// hop limit bounds how often that happens.
func (c *Core) handleForwardRanked(p *hspacket.Packet) {
	x := c.newCallerPacket(p)
	s := c.view.Service(x.key.ServiceKey())
	if s == nil {
		c.count(hscode.FlowNoService)
		return
	}
	first, ok := c.view.TargetByID(hsmanifest.TargetID(p.Steering.Target))
	f := c.flows.Get(&x.key, x.hash)
	if !ok || !s.HasTarget(first) || (f == nil && !c.view.Targets[first].Live) {
		if first = c.view.FirstChoice(s, x.hash); first < 0 {
			c.refuse(x, hscode.FlowNoTarget)
			return
		}
	}
	if f != nil {
		c.handleAsOwner(x, s, f, c.targetIndex[first], p.Steering.Hops)
		return
	}
	c.routeToFirstChoice(x, s, first, p.Steering.Hops)
}

// routeReply passes a packet from a target to the target's owner.
func (c *Core) routeReply(p *hspacket.Packet, t int) {
	owner := c.view.Targets[t].Owner
	if owner < 0 || owner == c.self() {
		c.fromTarget(p, t)
		return
	}
	c.forward(owner, hspacket.Steering{
		Kind:   hspacket.KindReply,
		Hops:   1,
		Boot:   c.cfg.BootNumber,
		Target: uint64(c.view.Targets[t].ID),
	}, nil)
}

// handleForwardedReply handles a target's packet that another ingress
// forwarded.
func (c *Core) handleForwardedReply(p *hspacket.Packet) {
	t, ok := c.view.TargetByID(hsmanifest.TargetID(p.Steering.Target))
	if !ok {
		c.count(hscode.FlowForeign)
		return
	}
	owner := c.view.Targets[t].Owner
	key := p.ReplyKey()
	hasEntry := c.flows.Get(&key, key.Hash()) != nil
	if owner >= 0 && owner != c.self() && !hasEntry && p.Steering.Hops < maxHops {
		steering := p.Steering
		steering.Hops++
		steering.Boot = c.cfg.BootNumber
		c.forward(owner, steering, nil)
		return
	}
	c.fromTarget(p, t)
}

func (c *Core) forward(host int, steering hspacket.Steering, inner []byte) {
	c.Stats.Forwarded++
	c.attachLoad(&steering)
	o := c.emit(ToHost, c.view.Hosts[host].Address)
	o.Steering = steering
	o.Inner = inner
}

// refuse tells the caller that a new flow or a datagram was not accepted: with
// an RST for TCP, with an ICMP port unreachable error for UDP. Nothing of it
// was delivered to a target, so the caller can rely on the refusal.
func (c *Core) refuse(x *callerPacket, code hscode.Code) {
	c.count(code)
	if x.p.Proto == hsflow.TCP {
		c.reset(x.p)
		return
	}
	if data, err := hspacket.BuildUnreachable(x.p); err == nil {
		c.emit(ToCaller, netip.Addr{}).Inner = data
	}
}

// reset sends the caller an RST in answer to p.
func (c *Core) reset(p *hspacket.Packet) {
	data, err := hspacket.BuildReset(p)
	if err != nil || data == nil {
		return
	}
	c.Stats.ResetsSent++
	c.emit(ToCaller, netip.Addr{}).Inner = data
}

// newCallerPacket returns the callerPacket of an input's packet. To avoid an
// allocation for each packet, the core reuses it: it is valid until the next
// input.
func (c *Core) newCallerPacket(p *hspacket.Packet) *callerPacket {
	x := &c.callerPacket
	x.p = p
	x.key = p.Key()
	x.hash = x.key.Hash()
	x.inner = nil
	return x
}
