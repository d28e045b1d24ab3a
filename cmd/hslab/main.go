// Command hslab runs heatherstack on loopback with simulated callers, targets
// and platform, and measures what callers see.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"heatherstack.org/heatherstack/internal/hscommand"
)

func main() {
	app := kingpin.New("hslab", "Runs heatherstack on loopback with simulated callers, targets and platform and measures what callers see.")
	commands := hscommand.NewCommands(app, os.Stdout)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commands.Run(ctx, command)
	stop()
	os.Exit(code)
}
