// Command hslab runs heatherstack with stand-ins for everything around it, all
// on loopback, and measures what callers see.
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
	app := kingpin.New("hslab", "Runs heatherstack with stand-ins on loopback and measures what callers see.")
	lab := hscommand.NewCommands(app, os.Stdout)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := lab.Run(ctx, command)
	stop()
	os.Exit(code)
}
