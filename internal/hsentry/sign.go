package hsentry

import (
	"encoding/hex"
	"net/http"

	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hskey"
)

// deterministic encodes a message as the same bytes at both ends of a call, so
// that both compute the same MAC.
var deterministic = proto.MarshalOptions{Deterministic: true}

// setMAC stores the MAC of a call's message in the call's header.
func setMAC(ring *hskey.Ring, h http.Header, msg proto.Message) {
	data, err := deterministic.Marshal(msg)
	if err != nil {
		return
	}
	h.Set(macHeader, hex.EncodeToString(ring.AppendMAC(nil, data)))
}

// hasValidMAC reports whether a call's header has the MAC of its message.
func hasValidMAC(ring *hskey.Ring, h http.Header, msg proto.Message) bool {
	mac, err := hex.DecodeString(h.Get(macHeader))
	if err != nil {
		return false
	}
	data, err := deterministic.Marshal(msg)
	return err == nil && ring.Verify(data, mac)
}
