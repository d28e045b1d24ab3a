package hslab

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
)

type (
	// frame is the header of a request or an answer.
	frame struct {
		id      uint64
		service uint32
		// Size in bytes of the body, which follows the header.
		bodySize uint32
		// In requests, the size in bytes of the answer's body.
		answerSize uint32
	}
)

const (
	frameMagic = 0x48537631
	frameSize  = 24
	// answerSalt makes the body of an answer differ from that of its request.
	answerSalt = 0x9E3779B97F4A7C15
)

func (f frame) header() []byte {
	var b [frameSize]byte
	binary.BigEndian.PutUint32(b[0:], frameMagic)
	binary.BigEndian.PutUint64(b[4:], f.id)
	binary.BigEndian.PutUint32(b[12:], f.service)
	binary.BigEndian.PutUint32(b[16:], f.bodySize)
	binary.BigEndian.PutUint32(b[20:], f.answerSize)
	return b[:]
}

// parseFrame parses the header at the start of b. complete is false if b is too
// short for a header; valid is false if b does not start with frameMagic.
func parseFrame(b []byte) (f frame, complete, valid bool) {
	if len(b) < frameSize {
		return frame{}, false, true
	}
	f = frame{
		id:         binary.BigEndian.Uint64(b[4:]),
		service:    binary.BigEndian.Uint32(b[12:]),
		bodySize:   binary.BigEndian.Uint32(b[16:]),
		answerSize: binary.BigEndian.Uint32(b[20:]),
	}
	return f, true, binary.BigEndian.Uint32(b) == frameMagic
}

// body returns n pseudo-random bytes that depend on the seed, so that bodies of
// different requests differ.
func body(seed uint64, n uint32) []byte {
	b := make([]byte, n)
	src := rand.NewPCG(seed, answerSalt)
	for i := 0; i < len(b); i += 8 {
		var word [8]byte
		binary.BigEndian.PutUint64(word[:], src.Uint64())
		copy(b[i:], word[:])
	}
	return b
}

// request returns a whole request: header and body.
func request(f frame) []byte {
	return append(f.header(), body(f.id, f.bodySize)...)
}

// answer returns the whole answer to the request f: header and body.
func answer(f frame) []byte {
	a := frame{id: f.id, service: f.service, bodySize: f.answerSize}
	return append(a.header(), body(f.id^answerSalt, f.answerSize)...)
}

// isRequest reports whether data is exactly the request with the header f.
func isRequest(f frame, data []byte) bool {
	return bytes.Equal(data, request(f))
}
