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
		Net      uint8
		Report   Reporter
		// Only Log is used; Demo sets the other fields.
		World WorldConfig
	}

	// demo moves all targets and entry hosts from building A to building B
	// while callers send requests.
	demo struct {
		cfg     DemoConfig
		w       *World
		estate  *Estate
		verdict Verdict
		start   time.Time
		// One channel for each planned stop, closed when the stop is over.
		stopping []<-chan struct{}
		// Time at which the last manifest with leaving targets became current on
		// all hosts.
		leftAt time.Time
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
	fabricLag   = 500 * time.Millisecond
	finishLimit = 10 * time.Second
	progress    = time.Second
)

// Demo runs the demo and returns its verdict.
func Demo(ctx context.Context, cfg DemoConfig) (Verdict, error) {
	d := &demo{cfg: cfg, estate: &Estate{Pools: Pools(), Services: Services()}}
	world := cfg.World
	world.Estate = d.estate
	world.Seed = cfg.Seed
	world.Net = cfg.Net
	world.Scale = cfg.Scale
	w, err := NewWorld(ctx, world)
	if err != nil {
		return Verdict{}, errors.Trace(err)
	}
	d.w = w
	err = d.run(w.ctx)
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	return d.verdict, errors.Trace(err)
}

func (d *demo) run(ctx context.Context) error {
	phases := []phase{
		{0, "building A serves", d.begin},
		{0.15, "building B joins", d.join},
		{0.30, "half of A's targets leave", func(ctx context.Context) error { return d.leaveTargets(ctx, 2) }},
		{0.42, "all of A's targets leave", func(ctx context.Context) error { return d.leaveTargets(ctx, 1) }},
		{0.50, "A's entry hosts leave", d.leaveHosts},
		{0.70, "A's entry hosts are removed from the manifest", d.dropHosts},
		{0.75, "callers reconnect", d.recycle},
		{0.90, "A's targets are removed from the manifest", d.remove},
	}
	d.start = time.Now()
	for _, p := range phases {
		if err := d.waitUntil(ctx, p.at); err != nil {
			return err
		}
		d.cfg.Report.Phase(time.Since(d.start), p.name)
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
		if err := pause(ctx, min(progress, time.Until(end))); err != nil {
			return err
		}
		tallies, _ := d.w.tell(orderReport)
		d.cfg.Report.Progress(time.Since(d.start), tallies)
	}
	return nil
}

// begin starts building A and the callers.
func (d *demo) begin(ctx context.Context) error {
	d.estate.AddTargets("a", d.w.NextTarget)
	d.estate.AddHosts("a", demoHosts, d.w.NextHost)
	if err := d.startAll(d.estate.Targets, d.estate.Hosts); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.spray()
	d.w.StartCallers(d.cfg.Duration / 20)
	return nil
}

// join adds building B.
func (d *demo) join(ctx context.Context) error {
	targets, hosts := len(d.estate.Targets), len(d.estate.Hosts)
	d.estate.AddTargets("b", d.w.NextTarget)
	d.estate.AddHosts("b", demoHosts, d.w.NextHost)
	if err := d.startAll(d.estate.Targets[targets:], d.estate.Hosts[hosts:]); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.spray()
	return nil
}

func (d *demo) startAll(targets, hosts []Machine) error {
	for _, t := range targets {
		if err := d.w.StartTarget(t); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := d.w.StartEntry(h); err != nil {
			return err
		}
	}
	return nil
}

// leaveTargets marks every nth target of building A as leaving, where n is
// every.
func (d *demo) leaveTargets(ctx context.Context, every int) error {
	n := len(d.estate.Targets) / 2
	for i := range d.estate.Targets[:n] {
		if i%every == 0 {
			d.estate.Targets[i].Leaving = true
		}
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.leftAt = time.Now()
	return nil
}

// leaveHosts starts the planned stops of A's entry hosts one after another, at
// intervals of fabricLag, so that they overlap. The fabric still sends packets to
// a host for fabricLag after its planned stop began.
func (d *demo) leaveHosts(ctx context.Context) error {
	for i := range demoHosts {
		d.estate.Hosts[i].Leaving = true
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	for i := range demoHosts {
		d.stopping = append(d.stopping, d.w.LeaveEntry(d.estate.Hosts[i].Name))
		if err := pause(ctx, fabricLag); err != nil {
			return err
		}
		d.spray()
	}
	return nil
}

// dropHosts removes A's entry hosts from the manifest after all of them have
// stopped.
func (d *demo) dropHosts(ctx context.Context) error {
	for _, done := range d.stopping {
		select {
		case <-done:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	d.estate.Hosts = slices.Clone(d.estate.Hosts[demoHosts:])
	return d.publish(ctx)
}

func (d *demo) recycle(context.Context) error {
	d.w.tell(orderRecycle)
	return nil
}

// awaitDrained waits until no connection is open on the targets, but at most for
// finishLimit.
func (d *demo) awaitDrained(ctx context.Context, targets []Machine) error {
	end := time.Now().Add(finishLimit)
	for time.Now().Before(end) {
		left := 0
		for _, t := range targets {
			left += d.w.Connections(t.Name)
		}
		if left == 0 {
			return nil
		}
		if err := pause(ctx, labTick); err != nil {
			return err
		}
	}
	return nil
}

// remove removes A's targets from the manifest after awaitDrained. It counts the
// targets that accepted connections too long after they began to leave, and the
// connections that are still open.
func (d *demo) remove(ctx context.Context) error {
	n := len(d.estate.Targets) / 2
	if err := d.awaitDrained(ctx, d.estate.Targets[:n]); err != nil {
		return err
	}
	for _, t := range d.estate.Targets[:n] {
		late := d.w.LastAccept(t.Name).Sub(d.leftAt)
		if late > settleTime {
			d.verdict.Late++
		}
		d.verdict.Undrained += d.w.Connections(t.Name)
	}
	d.estate.Targets = slices.Clone(d.estate.Targets[n:])
	return d.publish(ctx)
}

// publish publishes the next manifest and records how long it takes to become
// current on all hosts.
func (d *demo) publish(ctx context.Context) error {
	version, err := d.w.Publish()
	if err != nil {
		return errors.Trace(err)
	}
	took, err := d.w.AwaitVersion(ctx, version)
	if err != nil {
		return errors.Trace(err)
	}
	d.verdict.Force = append(d.verdict.Force, Force{Version: version, Took: took})
	d.cfg.Report.Force(time.Since(d.start), version, took)
	return nil
}

// spray makes the fabric send packets to all hosts that run and are not in a
// planned stop.
func (d *demo) spray() {
	names := make([]string, 0, len(d.estate.Hosts))
	for _, h := range d.estate.Hosts {
		names = append(names, h.Name)
	}
	d.w.Spray(names...)
}

// finish stops the callers, waits at most finishLimit for their last answers, and
// fills in the verdict.
func (d *demo) finish(ctx context.Context) error {
	d.measureBalance()
	d.w.tell(orderStop)
	end := time.Now().Add(finishLimit)
	for time.Now().Before(end) {
		if _, idle := d.w.tell(orderReport); idle {
			break
		}
		if err := pause(ctx, labTick); err != nil {
			return err
		}
	}
	tallies, _ := d.w.tell(orderFinish)
	d.verdict.fill(d.estate.Services, tallies, d.w.Ledger)
	d.verdict.Hosts = d.w.Entries(ctx)
	return nil
}

// measureBalance records for each pool the ratio of the maximum to the mean
// number of open connections per target, and the highest ratio of all pools.
func (d *demo) measureBalance() {
	for _, p := range d.estate.Pools {
		largest, total, n := 0, 0, 0
		for _, t := range d.estate.Targets {
			if t.Pool != p.Name {
				continue
			}
			open := d.w.Connections(t.Name)
			largest = max(largest, open)
			total += open
			n++
		}
		if total == 0 {
			continue
		}
		ratio := float64(largest) * float64(n) / float64(total)
		d.verdict.Balance = append(d.verdict.Balance, Balance{Pool: p.Name, Open: total, Ratio: ratio})
		d.verdict.Imbalance = max(d.verdict.Imbalance, ratio)
	}
}

// Connections returns the number of open connections of a target.
func (w *World) Connections(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil {
		return int(t.connections.Load())
	}
	return 0
}

// LastAccept returns when a target last accepted a connection or a datagram
// request.
func (w *World) LastAccept(name string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil {
		return time.Unix(0, t.acceptedAt.Load())
	}
	return time.Time{}
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.1fs", d.Seconds())
}
