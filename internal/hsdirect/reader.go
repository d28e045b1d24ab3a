package hsdirect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// readerMessage tells the reader task whether to read the store, and whether
	// to abort the call in progress and list the store again.
	readerMessage struct {
		read   bool
		relist bool
	}

	// storeReader is the state of the reader task.
	storeReader struct {
		e *EntryHost
		// Position up to which this task has read all changes; zero if it has to
		// list the store.
		seen hsfeed.Position
		// True if the store had to be listed again and no watch succeeded since.
		relisted bool
		backoff  time.Duration
		// Whether the store is available, as last reported to the control task.
		storeAvailable bool
	}
)

const (
	// minBackoff is the delay after a first failure: many times the store's usual
	// response time.
	minBackoff = 100 * time.Millisecond
	// maxBackoff limits the delay until the recovery of the store is noticed.
	maxBackoff = time.Second
)

// runReader lists and watches the store while this host is a reader.
func (e *EntryHost) runReader(ctx context.Context) error {
	r := &storeReader{e: e, backoff: minBackoff, storeAvailable: true}
	active := true
	for ctx.Err() == nil {
		if active {
			active = r.readUntilStopped(ctx)
			continue
		}
		select {
		case m := <-e.toReader:
			active = m.read
			r.noteRelist(m)
		case <-ctx.Done():
		}
	}
	return nil
}

// readUntilStopped reads the store until the control task ends this host's role
// as reader or requests a new list, or until ctx ends. It then aborts the call
// in progress and reports whether to continue reading.
func (r *storeReader) readUntilStopped(ctx context.Context) bool {
	g, readCtx := errgroup.WithContext(ctx)
	readCtx, cancel := context.WithCancel(readCtx)
	g.Go(func() error {
		r.seen = hsfeed.Position{}
		for readCtx.Err() == nil {
			r.step(readCtx)
		}
		return nil
	})
	last := readerMessage{read: true}
	for last.read && !last.relist && ctx.Err() == nil {
		select {
		case last = <-r.e.toReader:
		case <-ctx.Done():
		}
	}
	cancel()
	// The goroutine always returns nil.
	_ = g.Wait()
	r.noteRelist(last)
	return last.read
}

// noteRelist records what a request for a new list says about the store: the
// control task treats it as unavailable until this task reports that a call has
// succeeded.
func (r *storeReader) noteRelist(m readerMessage) {
	if m.relist {
		r.storeAvailable = false
	}
}

// step makes one call to the store and passes the result to the control task.
func (r *storeReader) step(ctx context.Context) {
	r.e.storeCalls.Add(1)
	u, err := r.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.handleFailure(ctx, err)
		return
	}
	r.reportAvailability(ctx, true)
	if u.Since > 0 {
		r.relisted = false
	}
	if !r.relisted {
		r.backoff = minBackoff
	}
	r.seen = u.Position()
	r.sendToControl(ctx, controlMessage{update: &u})
	if len(u.Events) > 0 {
		hstask.Sleep(ctx, r.e.cfg.Settings.watchInterval())
	}
}

func (r *storeReader) read(ctx context.Context) (hsfeed.Update, error) {
	if r.seen == (hsfeed.Position{}) {
		return r.e.cfg.Store.List(ctx)
	}
	return r.e.cfg.Store.Watch(ctx, r.seen, r.e.cfg.Settings.watchWait())
}

func (r *storeReader) handleFailure(ctx context.Context, err error) {
	r.e.storeFailures.Add(1)
	code := hscode.Of(err, hscode.PlatformRead)
	r.e.log(log.WarnLevel, code).Uint64("era", r.seen.Era).Uint64("after", r.seen.Revision).Err(errors.Cause(err)).Msg("cannot read the store")
	if code == hscode.PlatformHistory {
		first := !r.relisted
		r.seen, r.relisted = hsfeed.Position{}, true
		if first {
			return
		}
	} else {
		r.reportAvailability(ctx, false)
	}
	hstask.Sleep(ctx, r.backoff/2+rand.N(r.backoff))
	r.backoff = min(2*r.backoff, maxBackoff)
}

// reportAvailability tells the control task whether the store is available, if
// that changed.
func (r *storeReader) reportAvailability(ctx context.Context, available bool) {
	if r.storeAvailable == available {
		return
	}
	r.storeAvailable = available
	r.e.log(log.InfoLevel, hscode.OK).Bool("answers", available).Msg("availability of the store changed")
	r.sendToControl(ctx, controlMessage{storeAvailableSet: true, storeAvailable: available})
}

func (r *storeReader) sendToControl(ctx context.Context, m controlMessage) {
	select {
	case r.e.toControl <- m:
	case <-ctx.Done():
	}
}
