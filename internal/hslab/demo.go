package hslab

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
)

type (
	// DemoConfig configures a demo.
	DemoConfig struct {
		Seed     uint64
		Duration time.Duration
		Scale    float64
		Subnet   uint8
		Reporter Reporter
		// Only Log is used; the demo sets the other fields.
		Testbed TestbedConfig
	}

	// demo moves all targets and entry hosts from building A to building B
	// while callers send requests.
	demo struct {
		cfg        DemoConfig
		bed        *Testbed
		deployment *Deployment
		verdict    Verdict
		start      time.Time
		// One channel for each planned stop, closed when the stop is over.
		stopping []<-chan struct{}
		// Time at which the last manifest with leaving targets became current
		// on all hosts.
		leavingAt time.Time
	}

	phase struct {
		// Start of the phase as a share of the demo's duration.
		at   float64
		name string
		run  func(context.Context) error
	}
)

const (
	// Entry hosts per building.
	demoHosts = 6
	// Time allowed for a manifest to take full effect once it is current.
	settleTime = 2 * time.Second
	// Time from the start of a planned stop until the fabric stops sending to
	// the host.
	fabricDelay      = 500 * time.Millisecond
	finishTimeout    = 10 * time.Second
	progressInterval = time.Second
)

// RunDemo runs the demo and returns its verdict.
func RunDemo(ctx context.Context, cfg DemoConfig) (Verdict, error) {
	d := &demo{cfg: cfg, deployment: &Deployment{Pools: DefaultPools(), Services: DefaultServices()}}
	bedCfg := cfg.Testbed
	bedCfg.Deployment = d.deployment
	bedCfg.Seed = cfg.Seed
	bedCfg.Subnet = cfg.Subnet
	bedCfg.Scale = cfg.Scale
	bed, err := NewTestbed(ctx, bedCfg)
	if err != nil {
		return Verdict{}, errors.Trace(err)
	}
	d.bed = bed
	err = d.run(bed.ctx)
	if closeErr := bed.Close(); err == nil {
		err = closeErr
	}
	return d.verdict, errors.Trace(err)
}

func (d *demo) run(ctx context.Context) error {
	phases := []phase{
		{0, "building A serves", d.startBuildingA},
		{0.15, "building B joins", d.addBuildingB},
		{0.30, "half of A's targets leave", func(ctx context.Context) error { return d.leaveTargets(ctx, 2) }},
		{0.42, "all of A's targets leave", func(ctx context.Context) error { return d.leaveTargets(ctx, 1) }},
		{0.50, "A's entry hosts leave", d.leaveHosts},
		{0.70, "A's entry hosts are removed from the manifest", d.removeHosts},
		{0.75, "callers reconnect", d.reconnectCallers},
		{0.90, "A's targets are removed from the manifest", d.removeTargets},
	}
	d.start = time.Now()
	for _, p := range phases {
		if err := d.waitUntil(ctx, p.at); err != nil {
			return err
		}
		d.cfg.Reporter.Phase(time.Since(d.start), p.name)
		if err := p.run(ctx); err != nil {
			return errors.Annotate(err, p.name)
		}
	}
	if err := d.waitUntil(ctx, 1); err != nil {
		return err
	}
	return d.finish(ctx)
}

// waitUntil reports progress until the given share of the duration has passed.
func (d *demo) waitUntil(ctx context.Context, share float64) error {
	end := d.start.Add(time.Duration(share * float64(d.cfg.Duration)))
	for time.Now().Before(end) {
		if err := sleep(ctx, min(progressInterval, time.Until(end))); err != nil {
			return err
		}
		tallies, _ := d.bed.sendCommand(commandReport)
		d.cfg.Reporter.Progress(time.Since(d.start), tallies)
	}
	return nil
}

// startBuildingA starts building A's targets and entry hosts, publishes the
// first manifest and starts the callers.
func (d *demo) startBuildingA(ctx context.Context) error {
	d.deployment.AddTargets("a", d.bed.NextTargetAddr)
	d.deployment.AddHosts("a", demoHosts, d.bed.NextHostAddr)
	if err := d.startAll(d.deployment.Targets, d.deployment.Hosts); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.setNextHops()
	d.bed.StartCallers(d.cfg.Duration / 20)
	return nil
}

// addBuildingB starts building B's targets and entry hosts and publishes them
// in the manifest.
func (d *demo) addBuildingB(ctx context.Context) error {
	targets, hosts := len(d.deployment.Targets), len(d.deployment.Hosts)
	d.deployment.AddTargets("b", d.bed.NextTargetAddr)
	d.deployment.AddHosts("b", demoHosts, d.bed.NextHostAddr)
	if err := d.startAll(d.deployment.Targets[targets:], d.deployment.Hosts[hosts:]); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.setNextHops()
	return nil
}

func (d *demo) startAll(targets, hosts []Machine) error {
	for _, t := range targets {
		if err := d.bed.StartTarget(t); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := d.bed.StartEntry(h); err != nil {
			return err
		}
	}
	return nil
}

// leaveTargets marks the targets of building A whose index is a multiple of
// every as leaving, and publishes the manifest.
func (d *demo) leaveTargets(ctx context.Context, every int) error {
	n := len(d.deployment.Targets) / 2
	for i := range d.deployment.Targets[:n] {
		if i%every == 0 {
			d.deployment.Targets[i].Leaving = true
		}
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.leavingAt = time.Now()
	return nil
}

// leaveHosts starts the planned stops of A's entry hosts one after another, at
// intervals of fabricDelay, so that they overlap. The fabric still sends
// packets to a host for fabricDelay after its planned stop began.
func (d *demo) leaveHosts(ctx context.Context) error {
	for i := range demoHosts {
		d.deployment.Hosts[i].Leaving = true
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	for i := range demoHosts {
		d.stopping = append(d.stopping, d.bed.StopEntry(d.deployment.Hosts[i].Name))
		if err := sleep(ctx, fabricDelay); err != nil {
			return err
		}
		d.setNextHops()
	}
	return nil
}

// removeHosts removes A's entry hosts from the manifest after all of them have
// stopped.
func (d *demo) removeHosts(ctx context.Context) error {
	for _, done := range d.stopping {
		select {
		case <-done:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	d.deployment.Hosts = slices.Clone(d.deployment.Hosts[demoHosts:])
	return d.publish(ctx)
}

func (d *demo) reconnectCallers(context.Context) error {
	d.bed.sendCommand(commandReconnect)
	return nil
}

// awaitDrained waits until no connection is open on the targets, but at most
// for finishTimeout.
func (d *demo) awaitDrained(ctx context.Context, targets []Machine) error {
	end := time.Now().Add(finishTimeout)
	for time.Now().Before(end) {
		open := 0
		for _, t := range targets {
			open += d.bed.TargetConnections(t.Name)
		}
		if open == 0 {
			return nil
		}
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
	return nil
}

// removeTargets removes A's targets from the manifest after awaitDrained. It
// counts the targets that accepted new flows more than settleTime after
// leavingAt, and the connections that are still open.
func (d *demo) removeTargets(ctx context.Context) error {
	n := len(d.deployment.Targets) / 2
	if err := d.awaitDrained(ctx, d.deployment.Targets[:n]); err != nil {
		return err
	}
	for _, t := range d.deployment.Targets[:n] {
		late := d.bed.LastAcceptedAt(t.Name).Sub(d.leavingAt)
		if late > settleTime {
			d.verdict.LateTargets++
		}
		d.verdict.Undrained += d.bed.TargetConnections(t.Name)
	}
	d.deployment.Targets = slices.Clone(d.deployment.Targets[n:])
	return d.publish(ctx)
}

// publish publishes the next manifest and records how long it takes to become
// current on all hosts.
func (d *demo) publish(ctx context.Context) error {
	version, err := d.bed.Publish()
	if err != nil {
		return errors.Trace(err)
	}
	took, err := d.bed.AwaitVersion(ctx, version)
	if err != nil {
		return errors.Trace(err)
	}
	d.verdict.Propagations = append(d.verdict.Propagations, Propagation{Version: version, Took: took})
	d.cfg.Reporter.Propagated(time.Since(d.start), version, took)
	return nil
}

// setNextHops makes the fabric send packets to all hosts that run and are not
// in a planned stop.
func (d *demo) setNextHops() {
	names := make([]string, 0, len(d.deployment.Hosts))
	for _, h := range d.deployment.Hosts {
		names = append(names, h.Name)
	}
	d.bed.SetNextHops(names...)
}

// finish stops the callers, waits at most finishTimeout for their last answers,
// and fills in the verdict.
func (d *demo) finish(ctx context.Context) error {
	d.measureBalance()
	d.bed.sendCommand(commandStop)
	end := time.Now().Add(finishTimeout)
	for time.Now().Before(end) {
		if _, allStopped := d.bed.sendCommand(commandReport); allStopped {
			break
		}
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
	tallies, _ := d.bed.sendCommand(commandDropPending)
	d.verdict.fill(d.deployment.Services, tallies, d.bed.Ledger)
	d.verdict.Hosts = d.bed.EntryStatuses(ctx)
	return nil
}

// measureBalance records for each pool the ratio of the maximum to the mean
// number of open connections per target, and the highest ratio of all pools.
func (d *demo) measureBalance() {
	for _, p := range d.deployment.Pools {
		maximum, total, n := 0, 0, 0
		for _, t := range d.deployment.Targets {
			if t.Pool != p.Name {
				continue
			}
			open := d.bed.TargetConnections(t.Name)
			maximum = max(maximum, open)
			total += open
			n++
		}
		if total == 0 {
			continue
		}
		ratio := float64(maximum) * float64(n) / float64(total)
		d.verdict.Balance = append(d.verdict.Balance, Balance{Pool: p.Name, Open: total, Ratio: ratio})
		d.verdict.Imbalance = max(d.verdict.Imbalance, ratio)
	}
}

// TargetConnections returns the number of open connections of a target.
func (bed *Testbed) TargetConnections(name string) int {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if t := bed.targets[name]; t != nil {
		return int(t.connections.Load())
	}
	return 0
}

// LastAcceptedAt returns when a target last accepted a connection or a datagram
// request.
func (bed *Testbed) LastAcceptedAt(name string) time.Time {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if t := bed.targets[name]; t != nil {
		return time.Unix(0, t.acceptedAt.Load())
	}
	return time.Time{}
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.1fs", d.Seconds())
}
