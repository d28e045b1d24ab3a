package hsentry

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hssettings"
)

// Exit codes of hsentry.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main runs the command hsentry and returns its exit code. Invalid settings are
// reported on stderr, one per line; logs are written to stdout as JSON lines.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("hsentry", "Runs a heatherstack entry host.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	check := app.Flag("check", "Check the settings and exit.").Bool()
	flags := map[string]*string{}
	for _, f := range hssettings.Fields() {
		flags[f.Name] = app.Flag(f.Name, f.Help).Envar(f.Env).String()
	}
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintf(stderr, "hsentry: %s: %v\n", hscode.SettingValue, err)
		return exitSettings
	}
	values := make(map[string]string, len(flags))
	for name, v := range flags {
		values[name] = *v
	}
	settings, errs := hssettings.Parse(values)
	if errs != nil {
		_, _ = fmt.Fprintln(stderr, errs.Error())
		return exitSettings
	}
	if *check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return serveUntilSignal(settings, stdout)
}

func serveUntilSignal(settings hssettings.Settings, stdout io.Writer) int {
	logger := &log.Logger{Level: log.ParseLevel(settings.LogLevel), Writer: &log.IOWriter{Writer: stdout}}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e, err := New(Config{Settings: settings, Boot: uint64(time.Now().UnixMicro()), Logger: logger})
	if err == nil {
		err = e.Run(ctx)
	}
	if err != nil {
		code := hscode.Of(err, hscode.ProcessSocket)
		logger.Error().Uint16("code", uint16(code)).Err(errors.Cause(err)).Msg("entry host failed")
		return exitFailed
	}
	return exitOK
}
