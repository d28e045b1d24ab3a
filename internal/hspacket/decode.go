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
	// Ignores gopacket's truncation reports; the length checks detect
	// truncation.
	feedback ignoreTruncation
}

// MaxInnerSize is the maximum size of an inner packet in bytes.
const MaxInnerSize = 9000

const (
	genevePort        = 6081
	fragmentMask      = 0x3FFF
	ipv4MinHeaderSize = 20
	ipv6HeaderSize    = 40
	tcpMinHeaderSize  = 20
	udpHeaderSize     = 8
)

type ignoreTruncation struct{}

// SetTruncated implements gopacket.DecodeFeedback.
func (ignoreTruncation) SetTruncated() {}

// Decode decodes a tunnel packet into p. If the code is not OK, the content of
// p is undefined. For control messages, p.Inner is the MAC, which follows the
// tunnel header.
func (d *Decoder) Decode(data []byte, p *Packet) hscode.Code {
	p.Steering = Steering{}
	rest, etherType, code := decodeTunnelHeader(data, &p.Steering)
	if code != hscode.OK {
		return code
	}
	if p.Steering.Kind.IsControl() {
		p.Inner = rest
		return hscode.OK
	}
	return d.decodeIP(rest, etherType, p)
}

// DecodeInner decodes an IP packet without tunnel header into p. It does not
// change p.Steering.
func (d *Decoder) DecodeInner(data []byte, p *Packet) hscode.Code {
	if len(data) == 0 {
		return hscode.PacketShort
	}
	etherType := etherTypeIPv4
	if data[0]>>4 == 6 {
		etherType = etherTypeIPv6
	}
	return d.decodeIP(data, uint16(etherType), p)
}

// decodeIP decodes an IP packet of the given EtherType.
func (d *Decoder) decodeIP(data []byte, etherType uint16, p *Packet) hscode.Code {
	if len(data) > MaxInnerSize {
		return hscode.PacketOversize
	}
	p.Inner = data
	switch etherType {
	case etherTypeIPv4:
		return d.decodeIPv4(data, p)
	case etherTypeIPv6:
		return d.decodeIPv6(data, p)
	default:
		return hscode.PacketVersion
	}
}

func (d *Decoder) decodeIPv4(data []byte, p *Packet) hscode.Code {
	if len(data) < ipv4MinHeaderSize {
		return hscode.PacketShort
	}
	if data[0]>>4 != 4 {
		return hscode.PacketVersion
	}
	if int(binary.BigEndian.Uint16(data[2:])) != len(data) {
		return hscode.PacketLength
	}
	header := int(data[0]&0xF) * 4
	if header < ipv4MinHeaderSize || header > len(data) {
		return hscode.PacketInner
	}
	if binary.BigEndian.Uint16(data[6:])&fragmentMask != 0 {
		return hscode.PacketFragment
	}
	if onesSum(data[:header], 0) != 0xFFFF {
		return hscode.PacketChecksum
	}
	if err := d.ip4.DecodeFromBytes(data, d.feedback); err != nil {
		return hscode.PacketInner
	}
	src, _ := netip.AddrFromSlice(data[12:16])
	dst, _ := netip.AddrFromSlice(data[16:20])
	return d.decodeTransport(hsflow.Proto(d.ip4.Protocol), src, dst, d.ip4.Payload, p)
}

func (d *Decoder) decodeIPv6(data []byte, p *Packet) hscode.Code {
	if len(data) < ipv6HeaderSize {
		return hscode.PacketShort
	}
	if data[0]>>4 != 6 {
		return hscode.PacketVersion
	}
	if int(binary.BigEndian.Uint16(data[4:])) != len(data)-ipv6HeaderSize {
		return hscode.PacketLength
	}
	if data[6] == byte(layers.IPProtocolIPv6Fragment) {
		return hscode.PacketFragment
	}
	if proto := hsflow.Proto(data[6]); proto != hsflow.TCP && proto != hsflow.UDP {
		return hscode.PacketProtocol
	}
	if err := d.ip6.DecodeFromBytes(data, d.feedback); err != nil {
		return hscode.PacketInner
	}
	src, _ := netip.AddrFromSlice(data[8:24])
	dst, _ := netip.AddrFromSlice(data[24:40])
	if src.Is4In6() || dst.Is4In6() {
		return hscode.PacketInner
	}
	return d.decodeTransport(hsflow.Proto(data[6]), src, dst, d.ip6.Payload, p)
}

func (d *Decoder) decodeTransport(proto hsflow.Proto, src, dst netip.Addr, data []byte, p *Packet) hscode.Code {
	p.Proto = proto
	switch proto {
	case hsflow.TCP:
		if code := d.decodeTCP(data, p); code != hscode.OK {
			return code
		}
	case hsflow.UDP:
		if code := d.decodeUDP(data, p); code != hscode.OK {
			return code
		}
	default:
		return hscode.PacketProtocol
	}
	p.Src = netip.AddrPortFrom(src, binary.BigEndian.Uint16(data[0:]))
	p.Dst = netip.AddrPortFrom(dst, binary.BigEndian.Uint16(data[2:]))
	return verifyTransportChecksum(proto, src, dst, data)
}

func (d *Decoder) decodeTCP(data []byte, p *Packet) hscode.Code {
	if len(data) < tcpMinHeaderSize {
		return hscode.PacketShort
	}
	if err := d.tcp.DecodeFromBytes(data, d.feedback); err != nil {
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

func (d *Decoder) decodeUDP(data []byte, p *Packet) hscode.Code {
	if len(data) < udpHeaderSize {
		return hscode.PacketShort
	}
	if err := d.udp.DecodeFromBytes(data, d.feedback); err != nil {
		return hscode.PacketInner
	}
	if int(d.udp.Length) != len(data) {
		return hscode.PacketLength
	}
	if uint16(d.udp.DstPort) == genevePort {
		return hscode.PacketNested
	}
	p.Seg = Segment{Len: len(data) - udpHeaderSize}
	return hscode.OK
}

// decodeTunnelHeader decodes the Geneve header and returns the data that
// follows it. It does not use gopacket's Geneve decoder, which allocates memory
// for each option: the eight fixed bytes and the one known option are decoded
// here. TestTunnelAgainstGopacket checks the layout of the header with
// gopacket.
func decodeTunnelHeader(data []byte, s *Steering) (rest []byte, etherType uint16, code hscode.Code) {
	if len(data) < baseHeaderSize {
		return nil, 0, hscode.PacketShort
	}
	if data[0]>>6 != 0 {
		return nil, 0, hscode.PacketVersion
	}
	end := baseHeaderSize + int(data[0]&optionsLengthMask)*lengthUnit
	if end > len(data) {
		return nil, 0, hscode.PacketShort
	}
	if code := decodeOptions(data[baseHeaderSize:end], s); code != hscode.OK {
		return nil, 0, code
	}
	return data[end:], binary.BigEndian.Uint16(data[2:]), hscode.OK
}

// decodeOptions decodes the options of a Geneve header.
func decodeOptions(data []byte, s *Steering) hscode.Code {
	for len(data) > 0 {
		if len(data) < optionHeaderSize {
			return hscode.PacketOption
		}
		size := optionHeaderSize + int(data[3]&optionLengthMask)*lengthUnit
		if size > len(data) {
			return hscode.PacketOption
		}
		if code := decodeOption(data[:size], s); code != hscode.OK {
			return code
		}
		data = data[size:]
	}
	return hscode.OK
}

// decodeOption decodes one option of a Geneve header. A second steering option
// is refused. Unknown options are skipped unless they are critical.
func decodeOption(o []byte, s *Steering) hscode.Code {
	known := binary.BigEndian.Uint16(o) == steeringClass && o[2] == steeringType
	if known && s.Kind == KindNone && decodeSteering(o[optionHeaderSize:], s) {
		return hscode.OK
	}
	if known || o[2]&criticalTypeBit != 0 {
		return hscode.PacketOption
	}
	return hscode.OK
}
