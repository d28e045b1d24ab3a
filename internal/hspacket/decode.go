package hspacket

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
)

// Decoder decodes packets without allocating. It is not safe for concurrent
// use.
type Decoder struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	tcp layers.TCP
	udp layers.UDP
	// Receives gopacket's truncation reports, which the length checks cover.
	df discard
}

// MaxInner is the size in bytes of the largest inner packet handled.
const MaxInner = 9000

const (
	genevePort   = 6081
	fragmentMask = 0x3FFF
	ip4MinHeader = 20
	ip6Header    = 40
	tcpMinHeader = 20
	udpHeader    = 8
)

type discard struct{}

// SetTruncated implements gopacket.DecodeFeedback.
func (discard) SetTruncated() {}

// Decode decodes a tunnel packet into p. On a code other than OK, p is
// undefined. For control kinds Inner holds what follows the header.
func (d *Decoder) Decode(data []byte, p *Packet) hscode.Code {
	p.Steer = Steer{}
	rest, ether, code := tunnel(data, &p.Steer)
	if code != hscode.OK {
		return code
	}
	if p.Steer.Kind.Control() {
		p.Inner = rest
		return hscode.OK
	}
	return d.inner(rest, ether, p)
}

// DecodeInner decodes a bare IP packet into p, leaving its steering word alone.
func (d *Decoder) DecodeInner(data []byte, p *Packet) hscode.Code {
	if len(data) == 0 {
		return hscode.PacketShort
	}
	ether := etherIPv4
	if data[0]>>4 == 6 {
		ether = etherIPv6
	}
	return d.inner(data, uint16(ether), p)
}

func (d *Decoder) inner(data []byte, ether uint16, p *Packet) hscode.Code {
	if len(data) > MaxInner {
		return hscode.PacketOversize
	}
	p.Inner = data
	switch ether {
	case etherIPv4:
		return d.ipv4(data, p)
	case etherIPv6:
		return d.ipv6(data, p)
	default:
		return hscode.PacketVersion
	}
}

func (d *Decoder) ipv4(data []byte, p *Packet) hscode.Code {
	if len(data) < ip4MinHeader {
		return hscode.PacketShort
	}
	if data[0]>>4 != 4 {
		return hscode.PacketVersion
	}
	if int(binary.BigEndian.Uint16(data[2:])) != len(data) {
		return hscode.PacketLength
	}
	header := int(data[0]&0xF) * 4
	if header < ip4MinHeader || header > len(data) {
		return hscode.PacketInner
	}
	if binary.BigEndian.Uint16(data[6:])&fragmentMask != 0 {
		return hscode.PacketFragment
	}
	if sum(data[:header], 0) != 0xFFFF {
		return hscode.PacketChecksum
	}
	if err := d.ip4.DecodeFromBytes(data, d.df); err != nil {
		return hscode.PacketInner
	}
	src, _ := netip.AddrFromSlice(data[12:16])
	dst, _ := netip.AddrFromSlice(data[16:20])
	return d.transport(hsflow.Proto(d.ip4.Protocol), src, dst, d.ip4.Payload, p)
}

func (d *Decoder) ipv6(data []byte, p *Packet) hscode.Code {
	if len(data) < ip6Header {
		return hscode.PacketShort
	}
	if data[0]>>4 != 6 {
		return hscode.PacketVersion
	}
	if int(binary.BigEndian.Uint16(data[4:])) != len(data)-ip6Header {
		return hscode.PacketLength
	}
	if data[6] == byte(layers.IPProtocolIPv6Fragment) {
		return hscode.PacketFragment
	}
	if proto := hsflow.Proto(data[6]); proto != hsflow.TCP && proto != hsflow.UDP {
		return hscode.PacketProtocol
	}
	if err := d.ip6.DecodeFromBytes(data, d.df); err != nil {
		return hscode.PacketInner
	}
	src, _ := netip.AddrFromSlice(data[8:24])
	dst, _ := netip.AddrFromSlice(data[24:40])
	if src.Is4In6() || dst.Is4In6() {
		return hscode.PacketInner
	}
	return d.transport(hsflow.Proto(data[6]), src, dst, d.ip6.Payload, p)
}

func (d *Decoder) transport(proto hsflow.Proto, src, dst netip.Addr, data []byte, p *Packet) hscode.Code {
	p.Proto = proto
	switch proto {
	case hsflow.TCP:
		if code := d.segment(data, p); code != hscode.OK {
			return code
		}
	case hsflow.UDP:
		if code := d.datagram(data, p); code != hscode.OK {
			return code
		}
	default:
		return hscode.PacketProtocol
	}
	p.Src = netip.AddrPortFrom(src, binary.BigEndian.Uint16(data[0:]))
	p.Dst = netip.AddrPortFrom(dst, binary.BigEndian.Uint16(data[2:]))
	return checkTransport(proto, src, dst, data)
}

func (d *Decoder) segment(data []byte, p *Packet) hscode.Code {
	if len(data) < tcpMinHeader {
		return hscode.PacketShort
	}
	if err := d.tcp.DecodeFromBytes(data, d.df); err != nil {
		return hscode.PacketInner
	}
	p.Seg = Segment{
		Flags: Flags(data[13]) & (FIN | SYN | RST | PSH | ACK),
		Seq:   d.tcp.Seq,
		Ack:   d.tcp.Ack,
		Len:   len(d.tcp.Payload),
	}
	return hscode.OK
}

func (d *Decoder) datagram(data []byte, p *Packet) hscode.Code {
	if len(data) < udpHeader {
		return hscode.PacketShort
	}
	if err := d.udp.DecodeFromBytes(data, d.df); err != nil {
		return hscode.PacketInner
	}
	if int(d.udp.Length) != len(data) {
		return hscode.PacketLength
	}
	if uint16(d.udp.DstPort) == genevePort {
		return hscode.PacketNested
	}
	p.Seg = Segment{Len: len(data) - udpHeader}
	return hscode.OK
}

// tunnel reads the Geneve header. gopacket's decoder of this one layer
// allocates for each option, so the eight fixed bytes and the one known option
// are read here; a test holds the result against gopacket's.
func tunnel(data []byte, s *Steer) (rest []byte, ether uint16, code hscode.Code) {
	if len(data) < baseHeader {
		return nil, 0, hscode.PacketShort
	}
	if data[0]>>6 != 0 {
		return nil, 0, hscode.PacketVersion
	}
	end := baseHeader + int(data[0]&lengthMask)*optionUnit
	if end > len(data) {
		return nil, 0, hscode.PacketShort
	}
	if code := options(data[baseHeader:end], s); code != hscode.OK {
		return nil, 0, code
	}
	return data[end:], binary.BigEndian.Uint16(data[2:]), hscode.OK
}

func options(data []byte, s *Steer) hscode.Code {
	for len(data) > 0 {
		if len(data) < optionHeader {
			return hscode.PacketOption
		}
		size := optionHeader + int(data[3]&optLengthMask)*optionUnit
		if size > len(data) {
			return hscode.PacketOption
		}
		if code := option(data[:size], s); code != hscode.OK {
			return code
		}
		data = data[size:]
	}
	return hscode.OK
}

func option(o []byte, s *Steer) hscode.Code {
	known := binary.BigEndian.Uint16(o) == steerClass && o[2] == steerType
	if known && s.Kind == KindNone && parseSteer(o[optionHeader:], s) {
		return hscode.OK
	}
	if known || o[2]&criticalType != 0 {
		return hscode.PacketOption
	}
	return hscode.OK
}
