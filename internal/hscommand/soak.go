package hscommand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"heatherstack.org/heatherstack/internal/hslab"
	"heatherstack.org/heatherstack/internal/hssoak"
	"heatherstack.org/heatherstack/platform"
)

// soakTargets is the number of targets in each zone of a soak run, half of them
// for each of the two services. It is larger than the number of targets that
// faults may affect at the same time.
const soakTargets = 4

func newSoakFlags(app *kingpin.Application) soakFlags {
	s := app.Command("soak", "Run hsdirect processes under random faults and check what callers and targets see.")
	return soakFlags{
		command:  s,
		seed:     s.Flag("seed", "Seed of the first run.").Default("1").Uint64(),
		seeds:    s.Flag("seeds", "Number of runs, each with the next seed.").Default("1").Int(),
		duration: s.Flag("duration", "Time during which faults are injected.").Default("30s").Duration(),
		hosts:    s.Flag("hosts", "Number of entry hosts in each of three zones.").Default("2").Int(),
		callers:  s.Flag("callers", "Number of callers, each with eight flows at a time.").Default("6").Int(),
		binary:   s.Flag("binary", "Path of the hsdirect program.").Default("bin/hsdirect").String(),
		folder:   s.Flag("folder", "Folder for settings files and logs; a temporary one if empty.").String(),
		trace:    s.Flag("trace", "Write a line for each fault to standard error.").Bool(),
		net:      s.Flag("net", "Second byte of the loopback addresses in use; 0 takes it from the process id.").Default("0").Uint8(),
	}
}

// runSoak runs all seeds and returns exitFailed if a run violated a guarantee.
func (c *Commands) runSoak(ctx context.Context) int {
	f := &c.soak
	folder, err := soakFolder(*f.folder)
	if err != nil {
		_, _ = fmt.Fprintln(c.out, err)
		return exitError
	}
	code := exitOK
	for i := range *f.seeds {
		seed := *f.seed + uint64(i)
		rep, err := hssoak.Run(ctx, c.soakConfig(folder, seed))
		if err != nil {
			_, _ = fmt.Fprintln(c.out, err)
			return exitError
		}
		_, _ = fmt.Fprintf(c.out, "seed %d  opened %d  answered %d  refused %d  unopened %d  starts %d  broken %d\n",
			rep.Seed, rep.Opened, rep.Answered, rep.Refused, rep.Unopened, rep.ProcessStarts, len(rep.Violations))
		for _, v := range rep.Violations {
			_, _ = fmt.Fprintln(c.out, "  "+v)
			code = exitFailed
		}
	}
	return code
}

func (c *Commands) soakConfig(folder string, seed uint64) hssoak.Config {
	f := &c.soak
	cfg := hssoak.Config{
		Format: platform.Format{}, Store: platform.NewFakeStore(),
		Binary: *f.binary, Folder: filepath.Join(folder, strconv.FormatUint(seed, 10)), Subnet: hslab.ChooseSubnet(*f.net), Seed: seed,
		Duration: *f.duration, HostsPerZone: *f.hosts, TargetsPerZone: soakTargets, Callers: *f.callers, RecoveryTime: hssoak.MaxRecoveryTime,
	}
	if *f.trace {
		cfg.Trace = os.Stderr
	}
	return cfg
}

func soakFolder(path string) (string, error) {
	if path != "" {
		return path, os.MkdirAll(path, 0o700)
	}
	return os.MkdirTemp("", "soak")
}
