package hsdirect

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
)

// Exit codes of hsdirect.
const (
	exitOK          = 0
	exitFailure     = 1
	exitBadSettings = 2
)

// logQueueLength is the number of log lines that can be queued for writing.
// Further lines are dropped, so that a slow reader of the log never blocks a
// task.
const logQueueLength = 1024

// Adapter connects the program to a deployment.
type Adapter interface {
	// Settings reads the current settings. Errors are *hscode.Error.
	Settings() (Settings, error)
	// Connect returns the store, the packet codec and the URL path of the
	// readiness check.
	Connect(s *Settings) (Store, Codec, string)
}

// Main runs the hsdirect command and returns its exit code. Errors in the
// settings go to stderr, one per line; logs go to stdout as JSON lines.
func Main(args []string, a Adapter, stdout, stderr io.Writer) int {
	app := kingpin.New("hsdirect", "Runs a heatherstack entry host whose targets answer callers directly.")
	app.UsageWriter(stderr).ErrorWriter(stderr)
	check := app.Flag("check", "Check the settings and exit.").Bool()
	level := app.Flag("level", "Log level: debug, info, warn or error.").Envar("HSDIRECT_LEVEL").Default("info").
		Enum("debug", "info", "warn", "error")
	limit := app.Flag("limit", "Limit the requests in progress of this host by service and zone of targets, so that targets reject fewer.").
		Envar("HSDIRECT_LIMIT").Bool()
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintf(stderr, "hsdirect: %s: %v\n", hscode.SettingValue, err)
		return exitBadSettings
	}
	settings, err := a.Settings()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitBadSettings
	}
	settings.LimitRequests = *limit
	if *check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	w := &log.AsyncWriter{ChannelSize: logQueueLength, DiscardOnFull: true, Writer: &log.IOWriter{Writer: stdout}}
	code := run(a, settings, &log.Logger{Level: log.ParseLevel(*level), Writer: w})
	if err := w.Close(); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
	}
	return code
}

func run(a Adapter, settings Settings, logger *log.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	store, codec, path := a.Connect(&settings)
	e, err := New(Config{
		Settings:     settings,
		Store:        store,
		Codec:        codec,
		ReadyPath:    path,
		Boot:         uint64(time.Now().UnixMicro()),
		Logger:       logger,
		ReadSettings: a.Settings,
		Reload:       reload,
	})
	if err == nil {
		err = e.Run(ctx)
	}
	if err != nil {
		code := hscode.Of(err, hscode.ProcessSocket)
		logger.Error().Uint16("code", uint16(code)).Err(errors.Cause(err)).Msg("entry host failed")
		return exitFailure
	}
	return exitOK
}
