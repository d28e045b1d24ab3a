package hsentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hstask"
)

const (
	longPollWait = 25 * time.Second
	// readPause is the least time between two reads.
	readPause  = 100 * time.Millisecond
	backoffMin = 100 * time.Millisecond
	backoffMax = 10 * time.Second
)

// runPlatform reads the platform: once at start, and as long as this host is a
// reader of its zone. A host that ceases to be one lets its waiting read end.
func (e *Entry) runPlatform(ctx context.Context) error {
	reader := true
	backoff := backoffMin
	for ctx.Err() == nil {
		reader = e.awaitRole(ctx, reader)
		err := e.readPlatform(ctx)
		if err == nil || ctx.Err() != nil {
			backoff = backoffMin
			// A platform that neither holds answers back nor knows ETags is not
			// read in a tight loop.
			hstask.Sleep(ctx, readPause)
			continue
		}
		e.log(log.WarnLevel, hscode.Of(err, hscode.PlatformRead)).Err(err).Msg("platform not read")
		hstask.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
	return nil
}

// awaitRole returns once this host is a reader or ctx ends.
func (e *Entry) awaitRole(ctx context.Context, reader bool) bool {
	select {
	case reader = <-e.toPlatform:
	default:
	}
	for !reader && ctx.Err() == nil {
		select {
		case reader = <-e.toPlatform:
		case <-ctx.Done():
		}
	}
	return reader
}

func (e *Entry) readPlatform(ctx context.Context) error {
	data, err := e.cfg.Platform.Read(ctx, longPollWait)
	if err != nil || data == nil {
		return errors.Trace(err)
	}
	return e.offer(ctx, data, nil)
}

// offer checks a manifest and passes it to the control task.
func (e *Entry) offer(ctx context.Context, data []byte, history hsmanifest.History) error {
	m, faults := hsmanifest.Parse(data)
	if faults != nil {
		for _, f := range faults {
			e.log(log.ErrorLevel, f.Code).Str("path", f.Path).Str("detail", f.Detail).Msg("manifest rejected")
		}
		return nil
	}
	select {
	case e.toControl <- controlMessage{kind: offerMessage, manifest: m, history: history}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
