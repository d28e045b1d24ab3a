package hspacket

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsflow"
)

// newSpec describes a packet with a payload of n bytes.
func newSpec(proto hsflow.Proto, src, dst string, n int) Spec {
	payload := make([]byte, n)
	for i := range payload {
		payload[i] = byte(i * 7)
	}
	s := Spec{Proto: proto, Src: netip.MustParseAddrPort(src), Dst: netip.MustParseAddrPort(dst), Payload: payload}
	if proto == hsflow.TCP {
		s.Seg = Segment{Flags: ACK | PSH, Seq: 1000, Ack: 2000}
	}
	return s
}

// encapsulate builds the packet s and encapsulates it.
func encapsulate(t testing.TB, s Spec, steering Steering) []byte {
	inner, err := Build(s)
	assert.NilError(t, err)
	buf := make([]byte, Headroom+len(inner))
	copy(buf[Headroom:], inner)
	return buf[PrependHeader(buf, Headroom, &steering):]
}

// TestRoundTrip checks that an encapsulated packet decodes to the fields that
// it was built from, and that decoding does not allocate memory.
func TestRoundTrip(t *testing.T) {
	for _, s := range []Spec{
		newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 0),
		newSpec(hsflow.TCP, "192.0.2.1:4000", "198.51.100.1:443", 1399),
		newSpec(hsflow.UDP, "192.0.2.1:4000", "198.51.100.1:53", 77),
		newSpec(hsflow.TCP, "[2001:db8::1]:4000", "[2001:db8::2]:443", 501),
		newSpec(hsflow.UDP, "[2001:db8::1]:4000", "[2001:db8::2]:53", 8),
	} {
		for _, steering := range []Steering{{}, {Kind: KindForwardRanked, Hops: 1, Boot: 7, Target: 1 << 60}} {
			data := encapsulate(t, s, steering)
			var d Decoder
			var p Packet
			assert.Equal(t, d.Decode(data, &p), hscode.OK)
			assert.DeepEqual(t, p.Steering, steering)
			assert.Equal(t, p.Src, s.Src)
			assert.Equal(t, p.Dst, s.Dst)
			assert.Equal(t, p.Seg.Len, len(s.Payload))
			assert.Equal(t, p.Seg.Seq, s.Seg.Seq)
			assert.Equal(t, p.Seg.Flags, s.Seg.Flags)
			allocs := testing.AllocsPerRun(100, func() { d.Decode(data, &p) })
			assert.Equal(t, allocs, 0.0)
		}
	}
}
