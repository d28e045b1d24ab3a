package hspacket

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
)

// FuzzDecode checks that malformed input yields a result code and never a
// panic, and that an accepted packet decodes to the same fields after it has
// been encapsulated again.
func FuzzDecode(f *testing.F) {
	tcp := newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 30)
	udp := newSpec(hsflow.UDP, "[2001:db8::1]:4000", "[2001:db8::2]:53", 9)
	for _, s := range []Spec{tcp, udp} {
		for _, steering := range []Steering{{}, {Kind: KindReply, Hops: 2, Target: 9}} {
			f.Add(encapsulate(f, s, steering))
		}
	}
	f.Add(AppendControl(nil, &Steering{Kind: KindQuery, Query: &Query{Seq: 5, Ack: 6}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		var p Packet
		if d.Decode(data, &p) != hscode.OK || p.Steering.Kind.IsControl() {
			return
		}
		buf := make([]byte, Headroom+len(p.Inner))
		copy(buf[Headroom:], p.Inner)
		encoded := buf[PrependHeader(buf, Headroom, &p.Steering):]
		var q Packet
		assert.Equal(t, d.Decode(encoded, &q), hscode.OK)
		assert.DeepEqual(t, p.Steering, q.Steering)
		assert.Equal(t, p.Src, q.Src)
		assert.Equal(t, p.Dst, q.Dst)
		assert.Equal(t, p.Seg, q.Seg)
	})
}

// TestTunnelAgainstGopacket checks that gopacket's Geneve decoder accepts the
// tunnel header that PrependHeader writes and finds the steering option in it.
func TestTunnelAgainstGopacket(t *testing.T) {
	steering := Steering{Kind: KindForwardTracked, Hops: 3, Boot: 7, Target: 1 << 40}
	data := encapsulate(t, newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 5), steering)
	var g layers.Geneve
	assert.NilError(t, g.DecodeFromBytes(data, gopacket.NilDecodeFeedback))
	assert.Equal(t, g.Version, uint8(0))
	assert.Equal(t, g.Protocol, layers.EthernetTypeIPv4)
	assert.Equal(t, len(g.Options), 1)
	assert.Equal(t, g.Options[0].Class, uint16(steeringClass))
	assert.Equal(t, len(g.Options[0].Data), steeringDataSize)
	assert.Equal(t, len(g.Payload), len(data)-Headroom)
}

// TestHostile checks the result code for each kind of malformed packet.
func TestHostile(t *testing.T) {
	valid := encapsulate(t, newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 20), Steering{})
	validIPv6 := encapsulate(t, newSpec(hsflow.UDP, "[2001:db8::1]:4000", "[2001:db8::2]:53", 20), Steering{})
	steered := encapsulate(t, newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 20), Steering{Kind: KindForwardRanked})
	nested := encapsulate(t, newSpec(hsflow.UDP, "192.0.2.1:4000", "198.51.100.1:6081", 20), Steering{})
	oversize := encapsulate(t, newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", MaxInnerSize), Steering{})
	for _, c := range []struct {
		name   string
		base   []byte
		change func([]byte) []byte
		want   hscode.Code
	}{
		{"good", valid, func(b []byte) []byte { return b }, hscode.OK},
		{"empty", valid, func([]byte) []byte { return nil }, hscode.PacketShort},
		{"header only", valid, func(b []byte) []byte { return b[:8] }, hscode.PacketShort},
		{"tunnel version", valid, func(b []byte) []byte { b[0] |= 0x40; return b }, hscode.PacketVersion},
		{"options beyond end", valid, func(b []byte) []byte { b[0] |= 0x3F; return b }, hscode.PacketShort},
		{"ether type", valid, func(b []byte) []byte { b[2], b[3] = 0x65, 0x58; return b }, hscode.PacketVersion},
		{"truncated", valid, func(b []byte) []byte { return b[:len(b)-1] }, hscode.PacketLength},
		{"trailing byte", valid, func(b []byte) []byte { return append(b, 0) }, hscode.PacketLength},
		{"ip header checksum", valid, func(b []byte) []byte { b[8+8]++; return b }, hscode.PacketChecksum},
		{"payload checksum", valid, func(b []byte) []byte { b[len(b)-1]++; return b }, hscode.PacketChecksum},
		{"ip header length", valid, func(b []byte) []byte { b[8] = 0x41; return b }, hscode.PacketInner},
		{"ip version", valid, func(b []byte) []byte { b[8] = 0x65; return b }, hscode.PacketVersion},
		{"fragment", valid, func(b []byte) []byte { b[8+6] |= 0x20; return b }, hscode.PacketFragment},
		{"fragment v6", validIPv6, func(b []byte) []byte { b[8+6] = 44; return b }, hscode.PacketFragment},
		{"icmp v6", validIPv6, func(b []byte) []byte { b[8+6] = 58; return b }, hscode.PacketProtocol},
		{"no udp checksum v6", validIPv6, func(b []byte) []byte { b[8+46], b[8+47] = 0, 0; return b }, hscode.PacketChecksum},
		{"oversize", oversize, func(b []byte) []byte { return b }, hscode.PacketOversize},
		{"tunnel in tunnel", nested, func(b []byte) []byte { return b }, hscode.PacketNested},
		{"option length", steered, func(b []byte) []byte { b[11]++; return b }, hscode.PacketOption},
		{"critical option", steered, func(b []byte) []byte { b[9]++; return b }, hscode.PacketOption},
		{"steering kind", steered, func(b []byte) []byte { b[12] = 99; return b }, hscode.PacketOption},
		{"control kind with packet", steered, func(b []byte) []byte { b[12] = byte(KindQuery); return b }, hscode.PacketOption},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d Decoder
			var p Packet
			got := d.Decode(c.change(append([]byte(nil), c.base...)), &p)
			assert.Equal(t, got, c.want)
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	data := encapsulate(b, newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 1400), Steering{Kind: KindForwardRanked})
	var d Decoder
	var p Packet
	b.ReportAllocs()
	for b.Loop() {
		d.Decode(data, &p)
	}
}

func BenchmarkDecodeSmall(b *testing.B) {
	data := encapsulate(b, newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 0), Steering{Kind: KindForwardRanked})
	var d Decoder
	var p Packet
	b.ReportAllocs()
	for b.Loop() {
		d.Decode(data, &p)
	}
}
