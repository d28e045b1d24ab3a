package hslab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

type (
	// Commands are the subcommands of hslab.
	Commands struct {
		out   io.Writer
		demo  demoFlags
		relay relayFlags
	}

	relayFlags struct {
		command  *kingpin.CmdClause
		duration *time.Duration
		turns    *int
		size     *int
		net      *uint8
	}

	demoFlags struct {
		command  *kingpin.CmdClause
		seed     *uint64
		duration *time.Duration
		scale    *float64
		json     *bool
		log      *bool
		net      *uint8
	}
)

// Exit codes of hslab.
const (
	exitKept   = 0
	exitBroken = 1
	exitError  = 2
)

const (
	firstNet  = 16
	netChoice = 200
)

// NewCommands declares the subcommands on app; results go to out.
func NewCommands(app *kingpin.Application, out io.Writer) *Commands {
	c := &Commands{out: out}
	d := app.Command("demo", "Move all targets and entry hosts to another building while callers are served.").Default()
	c.demo = demoFlags{
		command:  d,
		seed:     d.Flag("seed", "Seed of all random choices.").Default("1").Uint64(),
		duration: d.Flag("duration", "Length of the move.").Default("20s").Duration(),
		scale:    d.Flag("scale", "Callers, as a multiple of 640.").Default("1").Float64(),
		json:     d.Flag("json", "Write one JSON object per line.").Bool(),
		log:      d.Flag("log", "Write the entry hosts' logs to standard error.").Bool(),
		net:      d.Flag("net", "Second byte of the loopback addresses in use; 0 takes it from the process id.").Default("0").Uint8(),
	}
	r := app.Command("relay", "Measure one hop of the data path beside a bare UDP forwarder.")
	c.relay = relayFlags{
		command:  r,
		duration: r.Flag("duration", "Length of each turn.").Default("2s").Duration(),
		turns:    r.Flag("turns", "Turns of each.").Default("3").Int(),
		size:     r.Flag("size", "Bytes of payload.").Default("64").Int(),
		net:      r.Flag("net", "Second byte of the loopback addresses in use; 0 takes it from the process id.").Default("0").Uint8(),
	}
	return c
}

// Run runs the named subcommand and returns the exit code.
func (c *Commands) Run(ctx context.Context, command string) int {
	switch command {
	case c.demo.command.FullCommand():
		return c.runDemo(ctx)
	case c.relay.command.FullCommand():
		return c.runRelay(ctx)
	default:
		return exitError
	}
}

func (c *Commands) runRelay(ctx context.Context) int {
	f := &c.relay
	r, err := Relay(ctx, RelayConfig{Duration: *f.duration, Turns: *f.turns, Net: netByte(*f.net), Size: *f.size})
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "hslab:", err)
		return exitError
	}
	_ = json.NewEncoder(c.out).Encode(r)
	return exitKept
}

func (c *Commands) runDemo(ctx context.Context) int {
	f := &c.demo
	cfg := DemoConfig{Seed: *f.seed, Duration: *f.duration, Scale: *f.scale, Net: netByte(*f.net), Report: c.reporter(*f.json)}
	if *f.log {
		cfg.World.Log = os.Stderr
	}
	v, err := Demo(ctx, cfg)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "hslab:", err)
		return exitError
	}
	cfg.Report.Verdict(&v)
	if !v.Kept() {
		return exitBroken
	}
	return exitKept
}

func (c *Commands) reporter(asJSON bool) Reporter {
	if asJSON {
		return &JSONReporter{W: c.out}
	}
	return &TextReporter{W: c.out}
}

// netByte returns n, or a number that differs between processes.
func netByte(n uint8) uint8 {
	if n != 0 {
		return n
	}
	return uint8(firstNet + os.Getpid()%netChoice)
}
