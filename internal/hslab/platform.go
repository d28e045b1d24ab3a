package hslab

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Platform simulates the operators' platform. It holds one value, the manifest,
// which clients read and watch over HTTP by long polling.
type Platform struct {
	mu    sync.Mutex
	value []byte
	etag  string
	// Closed when the value changes.
	changed chan struct{}
	reads   int
}

// NewPlatform returns a platform without a value.
func NewPlatform() *Platform {
	return &Platform{changed: make(chan struct{})}
}

// Publish sets the value and wakes the clients that watch it.
func (p *Platform) Publish(value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = value
	p.etag = fmt.Sprintf("%q", strconv.Itoa(len(value))+"-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reads returns how often the value was read since the start. A request that
// waits for a change reads it twice.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// ServeHTTP implements http.Handler. A request whose If-None-Match header names
// the current value waits for a change. The response is 304 if there is no
// change or no value yet.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	value, etag, changed := p.read()
	if etag != "" && r.Header.Get("If-None-Match") == etag {
		p.wait(r, changed)
		value, etag, _ = p.read()
	}
	if etag == "" || r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", etag)
	_, _ = w.Write(value)
}

func (p *Platform) read() (value []byte, etag string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.value, p.etag, p.changed
}

// wait returns after a change or after the number of seconds in the Prefer
// header, wait=SECONDS; without such a header it returns immediately.
func (p *Platform) wait(r *http.Request, changed <-chan struct{}) {
	text, ok := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !ok {
		return
	}
	seconds, err := strconv.Atoi(text)
	if err != nil {
		return
	}
	t := time.NewTimer(time.Duration(seconds) * time.Second)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.Context().Done():
	}
}
