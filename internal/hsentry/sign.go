package hsentry

import (
	"encoding/hex"
	"net/http"

	"google.golang.org/protobuf/proto"

	"heatherstack.org/heatherstack/internal/hskey"
)

// deterministic makes both ends sign the same bytes.
var deterministic = proto.MarshalOptions{Deterministic: true}

// setMAC puts the MAC of a call's message into its header.
func setMAC(ring *hskey.Ring, h http.Header, msg proto.Message) {
	data, err := deterministic.Marshal(msg)
	if err != nil {
		return
	}
	h.Set(macHeader, hex.EncodeToString(ring.Append(nil, data)))
}

// hasValidMAC reports whether a call's header holds its message's MAC.
func hasValidMAC(ring *hskey.Ring, h http.Header, msg proto.Message) bool {
	mac, err := hex.DecodeString(h.Get(macHeader))
	if err != nil {
		return false
	}
	data, err := deterministic.Marshal(msg)
	return err == nil && ring.Verify(data, mac)
}
