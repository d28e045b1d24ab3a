package hsdirect

import (
	"context"
	"reflect"
	"time"

	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
)

// rereadInterval is the time between two looks at the settings, which may
// change without a signal.
const rereadInterval = 10 * time.Second

// runReload reads the settings again when a signal says so and from time to
// time. Seeds and time limits are taken over; addresses hold until the process
// starts again. Settings that are not valid change nothing.
func (e *Entry) runReload(ctx context.Context) error {
	if e.cfg.Read == nil {
		return nil
	}
	ticker := time.NewTicker(rereadInterval)
	defer ticker.Stop()
	have := e.cfg.Settings
	for {
		signalled := false
		select {
		case <-e.cfg.Reload:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		next, err := e.cfg.Read()
		if err != nil {
			e.log(log.WarnLevel, codeOf(err, hscode.SettingFile)).Err(err).Msg("settings not taken over")
			continue
		}
		changed := !reflect.DeepEqual(have, next)
		if changed || signalled {
			e.log(log.InfoLevel, hscode.ProcessReload).Bool("changed", changed).Bool("signalled", signalled).Msg("settings read again")
		}
		have = next
		e.stopLimit.Store(int64(next.Stop))
		select {
		case e.toControl <- controlMessage{seeds: next.Seeds}:
		case <-ctx.Done():
		}
	}
}
