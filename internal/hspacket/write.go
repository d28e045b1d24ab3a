package hspacket

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hsflow"
)

const (
	defaultHopLimit = 64
	defaultWindow   = 65535
	// Maximum number of bytes of a refused IPv6 packet that an ICMP error
	// quotes.
	maxIPv6Quote = 1232 - ipv6HeaderSize - 8
	// Number of bytes of a refused IPv4 packet that an ICMP error quotes, in
	// addition to the IP header.
	ipv4QuotePayload = 8
)

// Spec describes a packet to build.
type Spec struct {
	Proto   hsflow.Proto
	Src     netip.AddrPort
	Dst     netip.AddrPort
	Seg     Segment
	Payload []byte
}

// Build returns the IP packet that s describes. Seg.Len is ignored.
func Build(s Spec) ([]byte, error) {
	ip, network := ipLayer(s.Src.Addr(), s.Dst.Addr(), layers.IPProtocol(s.Proto))
	var upper gopacket.SerializableLayer
	if s.Proto == hsflow.TCP {
		upper = tcpLayer(s, network)
	} else {
		upper = udpLayer(s, network)
	}
	return serialize(ip, upper, gopacket.Payload(s.Payload))
}

// BuildReset returns the RST that tells p's sender that the connection does not
// exist, as specified in RFC 9293 section 3.10.7.1. It returns nil if p is an
// RST itself.
func BuildReset(p *Packet) ([]byte, error) {
	if p.Seg.Flags.Has(RST) {
		return nil, nil
	}
	s := Spec{Proto: hsflow.TCP, Src: p.Dst, Dst: p.Src}
	if p.Seg.Flags.Has(ACK) {
		s.Seg = Segment{Flags: RST, Seq: p.Seg.Ack}
	} else {
		s.Seg = Segment{Flags: RST | ACK, Ack: p.Seg.End()}
	}
	return Build(s)
}

// BuildUnreachable returns the ICMP port unreachable error that refuses p.
func BuildUnreachable(p *Packet) ([]byte, error) {
	if p.Dst.Addr().Is4() {
		return unreachableIPv4(p)
	}
	return unreachableIPv6(p)
}

func unreachableIPv4(p *Packet) ([]byte, error) {
	ip, _ := ipLayer(p.Dst.Addr(), p.Src.Addr(), layers.IPProtocolICMPv4)
	icmp := &layers.ICMPv4{
		TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort),
	}
	quote := min(len(p.Inner), int(p.Inner[0]&0xF)*4+ipv4QuotePayload)
	return serialize(ip, icmp, gopacket.Payload(p.Inner[:quote]))
}

func unreachableIPv6(p *Packet) ([]byte, error) {
	ip, network := ipLayer(p.Dst.Addr(), p.Src.Addr(), layers.IPProtocolICMPv6)
	icmp := &layers.ICMPv6{
		TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable),
	}
	if err := icmp.SetNetworkLayerForChecksum(network); err != nil {
		return nil, errors.Trace(err)
	}
	const unused = 4
	quote := make([]byte, unused, unused+maxIPv6Quote)
	quote = append(quote, p.Inner[:min(len(p.Inner), maxIPv6Quote)]...)
	return serialize(ip, icmp, gopacket.Payload(quote))
}

func ipLayer(src, dst netip.Addr, proto layers.IPProtocol) (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	if src.Is4() {
		ip := &layers.IPv4{Version: 4, TTL: defaultHopLimit, Protocol: proto, SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
		return ip, ip
	}
	ip := &layers.IPv6{Version: 6, HopLimit: defaultHopLimit, NextHeader: proto, SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
	return ip, ip
}

func tcpLayer(s Spec, network gopacket.NetworkLayer) *layers.TCP {
	t := &layers.TCP{
		SrcPort: layers.TCPPort(s.Src.Port()),
		DstPort: layers.TCPPort(s.Dst.Port()),
		Seq:     s.Seg.Seq,
		Ack:     s.Seg.Ack,
		Window:  defaultWindow,
		FIN:     s.Seg.Flags.Has(FIN),
		SYN:     s.Seg.Flags.Has(SYN),
		RST:     s.Seg.Flags.Has(RST),
		PSH:     s.Seg.Flags.Has(PSH),
		ACK:     s.Seg.Flags.Has(ACK),
	}
	_ = t.SetNetworkLayerForChecksum(network)
	return t
}

func udpLayer(s Spec, network gopacket.NetworkLayer) *layers.UDP {
	u := &layers.UDP{SrcPort: layers.UDPPort(s.Src.Port()), DstPort: layers.UDPPort(s.Dst.Port())}
	_ = u.SetNetworkLayerForChecksum(network)
	return u
}

func serialize(parts ...gopacket.SerializableLayer) ([]byte, error) {
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, parts...); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}
