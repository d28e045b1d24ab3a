// Package hscommand implements the subcommands of hslab.
package hscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"heatherstack.org/heatherstack/internal/hslab"
	"heatherstack.org/heatherstack/internal/hsmatrix"
	"heatherstack.org/heatherstack/internal/hsmodel"
)

type (
	// Commands holds the subcommands of hslab and their flags.
	Commands struct {
		out     io.Writer
		demo    demoFlags
		relay   relayFlags
		compare compareFlags
		budget  budgetFlags
		place   placeFlags
		soak    soakFlags
	}

	placeFlags struct {
		command      *kingpin.CmdClause
		seed         *uint64
		bursts       *[]float64
		report       *time.Duration
		unresponsive *int
		outage       *time.Duration
		kept         *bool
		shortage     *bool
		pace         *bool
		hosts        *[]int
		loads        *[]float64
		json         *bool
	}

	soakFlags struct {
		command  *kingpin.CmdClause
		seed     *uint64
		seeds    *int
		duration *time.Duration
		hosts    *int
		callers  *int
		binary   *string
		folder   *string
		trace    *bool
		net      *uint8
	}

	budgetFlags struct {
		command  *kingpin.CmdClause
		hosts    *[]int
		duration *time.Duration
		net      *uint8
	}

	compareFlags struct {
		command *kingpin.CmdClause
		seed    *uint64
		json    *bool
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
	exitOK = 0
	// exitFailed means that a run violated a guarantee that it checks.
	exitFailed = 1
	// exitError means that a run could not be completed.
	exitError = 2
)

// NewCommands adds the subcommands to app. Results are written to out.
func NewCommands(app *kingpin.Application, out io.Writer) *Commands {
	c := &Commands{out: out}
	d := app.Command("demo", "Move all targets and entry hosts to another building while callers are served.").Default()
	c.demo = demoFlags{
		command:  d,
		seed:     d.Flag("seed", "Seed of all random choices.").Default("1").Uint64(),
		duration: d.Flag("duration", "Duration of the move.").Default("20s").Duration(),
		scale:    d.Flag("scale", "Number of callers, as a multiple of 640.").Default("1").Float64(),
		json:     d.Flag("json", "Write one JSON object per line.").Bool(),
		log:      d.Flag("log", "Write the entry hosts' logs to standard error.").Bool(),
		net:      d.Flag("net", "Second byte of the loopback addresses in use; 0 takes it from the process id.").Default("0").Uint8(),
	}
	r := app.Command("relay", "Compare the throughput and CPU time of one entry host with those of a minimal UDP forwarder.")
	c.relay = relayFlags{
		command:  r,
		duration: r.Flag("duration", "Duration of each measurement.").Default("2s").Duration(),
		turns:    r.Flag("turns", "Number of measurements of each forwarder.").Default("3").Int(),
		size:     r.Flag("size", "Payload of a packet in bytes.").Default("64").Int(),
		net:      r.Flag("net", "Second byte of the loopback addresses in use; 0 takes it from the process id.").Default("0").Uint8(),
	}
	b := app.Command("budget", "Measure the cost of the control plane per entry host, idle and while manifests change.")
	c.budget = budgetFlags{
		command:  b,
		hosts:    b.Flag("hosts", "Number of entry hosts; repeat for several measurements.").Default("4", "8", "16", "32").Ints(),
		duration: b.Flag("duration", "Duration of the idle half and of the half with changes.").Default("5s").Duration(),
		net:      b.Flag("net", "Second byte of the loopback addresses in use; 0 takes it from the process id.").Default("0").Uint8(),
	}
	p := app.Command("place", "Compare policies for the placement of new flows under load, in simulated time.")
	c.place = placeFlags{
		command:      p,
		seed:         p.Flag("seed", "Seed of all random choices.").Default("1").Uint64(),
		bursts:       p.Flag("burst", "Load in the middle third of the run, as a multiple of the usual load; repeat for several.").Default("1", "1.7", "2.4", "5").Float64List(),
		report:       p.Flag("report", "Time between two load reports of a host; 0s for none.").Default("200ms").Duration(),
		unresponsive: p.Flag("dark", "Number of targets that are unresponsive in the middle third of the run.").Default("0").Int(),
		outage:       p.Flag("outage", "Duration of an outage of all hosts in the middle of the run; 0s for none.").Default("0s").Duration(),
		kept:         p.Flag("kept", "Send most requests over flows that stay open, and release targets in the middle of the run.").Bool(),
		shortage:     p.Flag("shortage", "Play three routes on 80 targets behind 77 hosts instead, without and with limits of requests in progress: a burst of 14 times the load of one route, then each --burst as a multiple of the capacity. Writes the outcomes in the burst by route and zone, with the other flags but --seed ignored.").Bool(),
		pace:         p.Flag("pace", "Compare policies for targets of unequal speed instead, for each --hosts and --load.").Bool(),
		hosts:        p.Flag("hosts", "With --pace: number of entry hosts, a multiple of 3; repeat for several.").Default("6", "102").Ints(),
		loads:        p.Flag("load", "With --pace: load as a multiple of the targets' capacity; repeat for several.").Default("0.2", "0.6", "0.9", "1.2").Float64List(),
		json:         p.Flag("json", "Write one JSON object per policy.").Bool(),
	}
	c.soak = newSoakFlags(app)
	m := app.Command("compare", "Compare policies that keep connections at their targets, with the same seed, changes and faults.")
	c.compare = compareFlags{
		command: m,
		seed:    m.Flag("seed", "Seed of all random choices.").Default("1").Uint64(),
		json:    m.Flag("json", "Write one JSON object per policy.").Bool(),
	}
	return c
}

// Run runs the named subcommand and returns the exit code.
func (c *Commands) Run(ctx context.Context, command string) int {
	switch command {
	case c.demo.command.FullCommand():
		return c.runDemo(ctx)
	case c.budget.command.FullCommand():
		return c.runBudget(ctx)
	case c.place.command.FullCommand():
		return c.runPlace()
	case c.soak.command.FullCommand():
		return c.runSoak(ctx)
	case c.compare.command.FullCommand():
		return c.runCompare()
	case c.relay.command.FullCommand():
		return c.runRelay(ctx)
	default:
		return exitError
	}
}

func (c *Commands) runBudget(ctx context.Context) int {
	for _, n := range *c.budget.hosts {
		p, err := hslab.MeasureOverhead(ctx, hslab.OverheadConfig{Hosts: n, Duration: *c.budget.duration, Subnet: hslab.ChooseSubnet(*c.budget.net)})
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "hslab:", err)
			return exitError
		}
		_ = json.NewEncoder(c.out).Encode(p)
	}
	return exitOK
}

// runPace compares policies for targets of unequal speed.
func (c *Commands) runPace() int {
	f := &c.place
	if !*f.json {
		hsmodel.WritePaceHeader(c.out)
	}
	for _, hosts := range *f.hosts {
		for i := range hsmodel.PaceCases {
			pc := &hsmodel.PaceCases[i]
			for _, load := range *f.loads {
				for _, policy := range hsmodel.PacePolicies {
					r := hsmodel.SimulatePace(pc.Config(*f.seed, hosts, load, policy))
					if *f.json {
						_ = json.NewEncoder(c.out).Encode(r)
						continue
					}
					hsmodel.WritePaceRow(c.out, pc.Name, policy, hosts, load, &r)
				}
			}
		}
	}
	return exitOK
}

func (c *Commands) runPlace() int {
	f := &c.place
	if *f.shortage {
		hsmodel.WriteShortage(c.out, "burst x14", hsmodel.ShortageConfig(*f.seed, false))
		for _, load := range *f.bursts {
			hsmodel.WriteShortage(c.out, fmt.Sprintf("capacity x%.1f", load), hsmodel.SteadyConfig(*f.seed, false, load))
		}
		return exitOK
	}
	if *f.pace {
		return c.runPace()
	}
	if !*f.json {
		hsmodel.WriteHeader(c.out)
	}
	for _, burst := range *f.bursts {
		for _, p := range hsmodel.Policies {
			cfg := hsmodel.CheckInConfig(*f.seed, burst, p)
			if *f.kept {
				cfg = hsmodel.KeptFlowsConfig(*f.seed, burst, p)
			}
			cfg.ReportInterval = *f.report
			cfg.UnresponsiveTargets = *f.unresponsive
			if *f.outage > 0 {
				cfg = cfg.WithOutage(*f.outage)
			}
			r := hsmodel.Simulate(cfg)
			if *f.json {
				_ = json.NewEncoder(c.out).Encode(r)
				continue
			}
			hsmodel.WriteRow(c.out, burst, &r)
		}
	}
	return exitOK
}

// runCompare returns exitFailed if the product's policy, which is the one that
// uses the product's core with handover, broke a connection in a planned
// change. All events other than two-crash are planned changes.
func (c *Commands) runCompare() int {
	code := exitOK
	for _, p := range hsmatrix.Policies {
		r := hsmatrix.Compare(*c.compare.seed, p)
		if *c.compare.json {
			_ = json.NewEncoder(c.out).Encode(r)
		} else {
			_, _ = fmt.Fprintf(c.out, "%-6s  opened %d  broken %d %v  lost %d  doubled %d  imbalance %.3f  hops %.2f  bytes/s/host %.0f  slowest %.1f s  asks %d  trials %d  handed %d\n",
				r.Policy, r.Opened, r.Broken, r.ByEvent, r.Lost, r.RanTwice, r.Imbalance, r.HopsPerPacket, r.BytesPerSecond, r.MaxLatency, r.Queries, r.Trials, r.HandedOver)
		}
		if p.NewCore == nil && !p.NoHandover && r.Broken > r.ByEvent["two-crash"] {
			code = exitFailed
		}
	}
	return code
}

func (c *Commands) runRelay(ctx context.Context) int {
	f := &c.relay
	r, err := hslab.MeasureRelay(ctx, hslab.RelayConfig{Duration: *f.duration, Turns: *f.turns, Subnet: hslab.ChooseSubnet(*f.net), PayloadSize: *f.size})
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "hslab:", err)
		return exitError
	}
	_ = json.NewEncoder(c.out).Encode(r)
	return exitOK
}

func (c *Commands) runDemo(ctx context.Context) int {
	f := &c.demo
	cfg := hslab.DemoConfig{Seed: *f.seed, Duration: *f.duration, Scale: *f.scale, Subnet: hslab.ChooseSubnet(*f.net), Reporter: c.reporter(*f.json)}
	if *f.log {
		cfg.Testbed.Log = os.Stderr
	}
	v, err := hslab.RunDemo(ctx, cfg)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "hslab:", err)
		return exitError
	}
	cfg.Reporter.Verdict(&v)
	if !v.Passed() {
		return exitFailed
	}
	return exitOK
}

func (c *Commands) reporter(asJSON bool) hslab.Reporter {
	if asJSON {
		return &hslab.JSONReporter{W: c.out}
	}
	return &hslab.TextReporter{W: c.out}
}
