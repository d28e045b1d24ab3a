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
	// readerMessage tells the reader task whether to read, and whether to give
	// up the call under way and list anew.
	readerMessage struct {
		read  bool
		again bool
	}

	// storeReader is the state of the reader task.
	storeReader struct {
		e *Entry
		// Revision up to which this task has seen everything; 0 if it has to
		// list.
		after   uint64
		backoff time.Duration
		// Whether the last call was answered, as told to control.
		answers bool
	}
)

const (
	// watchGap is the least time from a call that brought changes to the next
	// one, so that a series of changes costs a few calls a second. It is a
	// twelfth of defaultForce.
	watchGap = 250 * time.Millisecond
	// backoffMin is the pause after a first failure: many times what the store
	// takes to answer.
	backoffMin = 100 * time.Millisecond
	// backoffMax bounds the time for which a store that has come back is not
	// noticed.
	backoffMax = time.Second
)

// runReader reads and watches the store while control wants it to.
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

// readWhileWanted reads until control says otherwise, or to begin anew, or ctx
// ends. A call under way is given up then. It reports whether to go on.
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
	// The group's task returns no error.
	_ = g.Wait()
	if again {
		// Control holds the store for silent until it is told otherwise.
		r.answers = false
	}
	return wanted
}

// step makes one call and passes on what it brought.
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
		r.e.log(log.WarnLevel, f.Code).Str("key", f.Path).Str("detail", f.Detail).Msg("entry of the store left out")
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
	r.e.log(log.WarnLevel, code).Uint64("after", r.after).Err(errors.Cause(err)).Msg("store not read")
	if code == hscode.PlatformHistory {
		r.after = 0
		return
	}
	r.contact(ctx, false)
	hstask.Sleep(ctx, r.backoff/2+rand.N(r.backoff))
	r.backoff = min(2*r.backoff, backoffMax)
}

// contact tells control whether the store answers, if that changed.
func (r *storeReader) contact(ctx context.Context, answers bool) {
	if r.answers == answers {
		return
	}
	r.answers = answers
	r.e.log(log.InfoLevel, hscode.OK).Bool("answers", answers).Msg("contact with the store changed")
	r.tell(ctx, controlMessage{contactSet: true, answers: answers})
}

func (r *storeReader) tell(ctx context.Context, m controlMessage) {
	select {
	case r.e.toControl <- m:
	case <-ctx.Done():
	}
}
