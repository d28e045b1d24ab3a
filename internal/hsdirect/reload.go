package hsdirect

import (
	"context"
	"reflect"
	"time"

	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
)

// rereadInterval is the time between two periodic reads of the settings, which
// may change without a signal.
const rereadInterval = 10 * time.Second

// reloader is the state of the reload task.
type reloader struct {
	e    *Entry
	have Settings
	// Error of the last read; empty if it succeeded.
	fault string
}

// runReload reads the settings again on a signal and periodically. New seeds
// and a new time limit of a planned stop take effect at once; addresses take
// effect after a restart. Invalid settings change nothing.
func (e *Entry) runReload(ctx context.Context) error {
	if e.cfg.Read == nil {
		return nil
	}
	ticker := time.NewTicker(rereadInterval)
	defer ticker.Stop()
	r := &reloader{e: e, have: e.cfg.Settings}
	for {
		signalled := false
		select {
		case <-e.cfg.Reload:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		r.step(ctx, signalled)
	}
}

// step reads the settings once. An error that repeats is logged once, unless a
// signal requested the read.
func (r *reloader) step(ctx context.Context, signalled bool) {
	next, err := r.e.cfg.Read()
	if err != nil {
		if signalled || err.Error() != r.fault {
			r.e.log(log.WarnLevel, hscode.Of(err, hscode.SettingFile)).Err(err).Msg("cannot read the new settings; keeping the current ones")
		}
		r.fault = err.Error()
		return
	}
	r.fault = ""
	changed := !reflect.DeepEqual(r.have, next)
	if changed || signalled {
		r.e.log(log.InfoLevel, hscode.ProcessReload).Bool("changed", changed).Bool("signalled", signalled).Msg("settings reloaded")
	}
	if !changed {
		return
	}
	r.have = next
	r.e.stopLimit.Store(int64(next.Stop))
	select {
	case r.e.toControl <- controlMessage{seeds: next.Seeds}:
	case <-ctx.Done():
	}
}
