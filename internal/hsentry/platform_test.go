package hsentry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// immediatePlatform answers each read without delay and without a manifest.
type immediatePlatform struct {
	reads int
}

// Read implements hsplatform.Platform.
func (p *immediatePlatform) Read(context.Context, time.Duration) ([]byte, error) {
	p.reads++
	return nil, nil
}

// TestReadPause checks that a platform which answers without delay is not read
// in a tight loop. A slow machine makes fewer reads than maxReads, never more.
func TestReadPause(t *testing.T) {
	p := &immediatePlatform{}
	e := &EntryHost{
		cfg:        Config{Platform: p, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}},
		toPlatform: make(chan bool, 1),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*readPause)
	defer cancel()
	start := time.Now()
	assert.NilError(t, e.runPlatform(ctx))
	maxReads := int(time.Since(start)/readPause) + 1
	assert.Assert(t, p.reads >= 1)
	assert.Assert(t, p.reads <= maxReads, "%d reads, want at most %d", p.reads, maxReads)
}
