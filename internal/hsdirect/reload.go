package hsdirect

import (
	"context"
	"reflect"
	"time"

	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
)

// reloadInterval is the time between two periodic reads of the settings, which
// may change without a signal.
const reloadInterval = 10 * time.Second

// reloader is the state of the reload task.
type reloader struct {
	e       *EntryHost
	current Settings
	// Error of the last read; empty if it succeeded.
	lastError string
}

// runReload reads the settings again on a signal and periodically. New seeds
// and a new time limit of a planned stop take effect at once; other settings,
// such as addresses, take effect after a restart. Invalid settings change
// nothing.
func (e *EntryHost) runReload(ctx context.Context) error {
	if e.cfg.ReadSettings == nil {
		return nil
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	r := &reloader{e: e, current: e.cfg.Settings}
	for {
		signalled := false
		select {
		case <-e.cfg.Reload:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		r.reload(ctx, signalled)
	}
}

// reload reads the settings once. An error that repeats is logged once, unless
// a signal requested the read.
func (r *reloader) reload(ctx context.Context, signalled bool) {
	next, err := r.e.cfg.ReadSettings()
	if err != nil {
		if signalled || err.Error() != r.lastError {
			r.e.log(log.WarnLevel, hscode.Of(err, hscode.SettingFile)).Err(err).Msg("cannot read the new settings; keeping the current ones")
		}
		r.lastError = err.Error()
		return
	}
	r.lastError = ""
	// Set by a flag, not by the settings file.
	next.LimitRequests = r.current.LimitRequests
	changed := !reflect.DeepEqual(r.current, next)
	if changed || signalled {
		r.e.log(log.InfoLevel, hscode.ProcessReload).Bool("changed", changed).Bool("signalled", signalled).Msg("settings reloaded")
	}
	if !changed {
		return
	}
	r.current = next
	r.e.stopTimeout.Store(int64(next.StopTimeout))
	select {
	case r.e.toControl <- controlMessage{seeds: next.Seeds}:
	case <-ctx.Done():
	}
}
