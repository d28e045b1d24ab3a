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
	// longPollWait is the maximum time for which the platform may delay its answer
	// until the manifest changes.
	longPollWait = 25 * time.Second
	// readPause is the time between a successful read and the next read.
	readPause  = 100 * time.Millisecond
	backoffMin = 100 * time.Millisecond
	backoffMax = 10 * time.Second
)

// runPlatform reads the manifest from the platform: once at start, and then for
// as long as this host is a reader of its zone. When the host loses that role,
// a read in progress is not cancelled.
func (e *EntryHost) runPlatform(ctx context.Context) error {
	reader := true
	backoff := backoffMin
	for ctx.Err() == nil {
		reader = e.awaitRole(ctx, reader)
		err := e.readPlatform(ctx)
		if err == nil || ctx.Err() != nil {
			backoff = backoffMin
			// Prevents a tight loop on a platform that supports neither long polls
			// nor ETags.
			hstask.Sleep(ctx, readPause)
			continue
		}
		e.log(log.WarnLevel, hscode.Of(err, hscode.PlatformRead)).Err(err).Msg("cannot read manifest from platform")
		hstask.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
	return nil
}

// awaitRole waits until this host is a reader of its zone or ctx ends, and
// reports whether it is a reader. The parameter reader is the role that the
// task learned last.
func (e *EntryHost) awaitRole(ctx context.Context, reader bool) bool {
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

func (e *EntryHost) readPlatform(ctx context.Context) error {
	data, err := e.cfg.Platform.Read(ctx, longPollWait)
	if err != nil || data == nil {
		return errors.Trace(err)
	}
	return e.offer(ctx, data, nil)
}

// offer parses a manifest and passes it to the control task. An invalid
// manifest is logged and ignored.
func (e *EntryHost) offer(ctx context.Context, data []byte, history hsmanifest.History) error {
	m, errs := hsmanifest.Parse(data)
	if errs != nil {
		for _, parseErr := range errs {
			e.log(log.ErrorLevel, parseErr.Code).Str("path", parseErr.Path).Str("detail", parseErr.Detail).Msg("manifest rejected")
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
