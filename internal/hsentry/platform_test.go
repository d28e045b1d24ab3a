package hsentry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// hastyPlatform never holds an answer back.
type hastyPlatform struct {
	reads int
}

// Read implements hsplatform.Platform.
func (p *hastyPlatform) Read(context.Context, time.Duration) ([]byte, error) {
	p.reads++
	return nil, nil
}

// TestReadPause checks that a platform which answers at once is not read in a
// tight loop. A slow machine reads less often, never more.
func TestReadPause(t *testing.T) {
	p := &hastyPlatform{}
	e := &Entry{
		cfg:        Config{Platform: p, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}},
		toPlatform: make(chan bool, 1),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*readPause)
	defer cancel()
	start := time.Now()
	assert.NilError(t, e.runPlatform(ctx))
	most := int(time.Since(start)/readPause) + 1
	assert.Assert(t, p.reads >= 1)
	assert.Assert(t, p.reads <= most, "%d reads, want at most %d", p.reads, most)
}
