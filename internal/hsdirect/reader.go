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
		read  bool
		again bool
	}

	// storeReader is the state of the reader task.
	storeReader struct {
		e *Entry
		// Revision up to which this task has read all changes; 0 if it has to list
		// the store.
		after   uint64
		backoff time.Duration
		// Whether the store is available, as last reported to the control task.
		answers bool
	}
)

const (
	// watchGap is the minimum time from a call that returned changes to the next
	// call, so that a series of changes costs only a few calls per second. It is a
	// twelfth of defaultForce.
	watchGap = 250 * time.Millisecond
	// backoffMin is the delay after a first failure: many times the store's usual
	// response time.
	backoffMin = 100 * time.Millisecond
	// backoffMax limits the delay until the recovery of the store is noticed.
	backoffMax = time.Second
)

// runReader lists and watches the store while this host is a reader.
func (e *Entry) runReader(ctx context.Context) error {
	r := &storeReader{e: e, backoff: backoffMin, answers: true}
	active := true
	for ctx.Err() == nil {
		if active {
			active = r.readWhileWanted(ctx)
			continue
		}
		select {
		case m := <-e.toReader:
			active = m.read
		case <-ctx.Done():
		}
	}
	return nil
}

// readWhileWanted reads the store until the control task ends this host's role
// as reader or requests a new list, or until ctx ends. It then aborts the call
// in progress and reports whether to continue reading.
func (r *storeReader) readWhileWanted(ctx context.Context) bool {
	g, reading := errgroup.WithContext(ctx)
	reading, cancel := context.WithCancel(reading)
	g.Go(func() error {
		r.after = 0
		for reading.Err() == nil {
			r.step(reading)
		}
		return nil
	})
	wanted, again := true, false
	for wanted && !again && ctx.Err() == nil {
		select {
		case m := <-r.e.toReader:
			wanted, again = m.read, m.again
		case <-ctx.Done():
		}
	}
	cancel()
	// The goroutine always returns nil.
	_ = g.Wait()
	if again {
		// The control task treats the store as unavailable until a call succeeds.
		r.answers = false
	}
	return wanted
}

// step makes one call to the store and passes the result to the control task.
func (r *storeReader) step(ctx context.Context) {
	r.e.calls.Add(1)
	u, err := r.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failed(ctx, err)
		return
	}
	for _, f := range u.Faults {
		r.e.log(log.WarnLevel, f.Code).Str("key", f.Path).Str("detail", f.Detail).Msg("ignoring invalid entry in the store")
	}
	r.contact(ctx, true)
	r.backoff = backoffMin
	r.after = u.Revision
	r.tell(ctx, controlMessage{update: &u})
	if len(u.Events) > 0 {
		hstask.Sleep(ctx, watchGap)
	}
}

func (r *storeReader) read(ctx context.Context) (hsfeed.Update, error) {
	if r.after == 0 {
		return r.e.cfg.Store.List(ctx)
	}
	return r.e.cfg.Store.Watch(ctx, r.after, r.e.cfg.Settings.watchWait())
}

func (r *storeReader) failed(ctx context.Context, err error) {
	r.e.failures.Add(1)
	code := hscode.Of(err, hscode.PlatformRead)
	r.e.log(log.WarnLevel, code).Uint64("after", r.after).Err(errors.Cause(err)).Msg("cannot read the store")
	if code == hscode.PlatformHistory {
		r.after = 0
		return
	}
	r.contact(ctx, false)
	hstask.Sleep(ctx, r.backoff/2+rand.N(r.backoff))
	r.backoff = min(2*r.backoff, backoffMax)
}

// contact tells the control task whether the store is available, if that
// changed.
func (r *storeReader) contact(ctx context.Context, answers bool) {
	if r.answers == answers {
		return
	}
	r.answers = answers
	r.e.log(log.InfoLevel, hscode.OK).Bool("answers", answers).Msg("availability of the store changed")
	r.tell(ctx, controlMessage{contactSet: true, answers: answers})
}

func (r *storeReader) tell(ctx context.Context, m controlMessage) {
	select {
	case r.e.toControl <- m:
	case <-ctx.Done():
	}
}
