package hslab

import (
	"context"
	"runtime"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hsentry"
)

type (
	// OverheadConfig configures one measurement of the control overhead.
	OverheadConfig struct {
		Hosts int
		// Length of each half of the measurement: first without, then with
		// manifest changes.
		Duration time.Duration
		// Second byte of the loopback addresses, 127.N.x.y.
		Subnet uint8
	}

	// OverheadResult is the control overhead of one entry host: network
	// traffic, processor time and memory that it uses without any callers.
	OverheadResult struct {
		Kind  string `json:"kind"`
		Hosts int    `json:"hosts"`
		// Heartbeat bytes per second and host, including IP and UDP headers, in
		// the idle half and in the half with changes.
		IdleSent       float64 `json:"idleSent"`
		IdleReceived   float64 `json:"idleReceived"`
		ChangeSent     float64 `json:"changeSent"`
		ChangeReceived float64 `json:"changeReceived"`
		// Manifest changes per second in the second half.
		Changes float64 `json:"changes"`
		// Processor time per host in percent of one core, including that of the
		// simulated platform.
		IdleCPU   float64 `json:"idleCPU"`
		ChangeCPU float64 `json:"changeCPU"`
		// How often per second all hosts together read the platform while idle.
		PlatformReads float64 `json:"reads"`
		// Time in seconds from the publication of a manifest until it is
		// current on all hosts.
		PropagationMax  float64 `json:"forceMax"`
		PropagationMean float64 `json:"forceMean"`
		// Heap in use per host in bytes, including that of the simulated
		// platform.
		HeapBytes float64 `json:"memory"`
	}

	// usage is a snapshot of the resources that all hosts together have used
	// since they started.
	usage struct {
		at             time.Time
		sent, received uint64
		cpu            time.Duration
		reads          int
	}
)

const changeInterval = time.Second

// MeasureOverhead measures the control overhead of cfg.Hosts entry hosts.
func MeasureOverhead(ctx context.Context, cfg OverheadConfig) (OverheadResult, error) {
	deployment := &Deployment{Pools: DefaultPools(), Services: DefaultServices()}
	bed, err := NewTestbed(ctx, TestbedConfig{Deployment: deployment, Seed: 1, Subnet: cfg.Subnet, Scale: 0})
	if err != nil {
		return OverheadResult{}, errors.Trace(err)
	}
	result, err := measureOverhead(bed.ctx, bed, deployment, cfg)
	if closeErr := bed.Close(); err == nil {
		err = closeErr
	}
	return result, errors.Trace(err)
}

func measureOverhead(ctx context.Context, bed *Testbed, deployment *Deployment, cfg OverheadConfig) (OverheadResult, error) {
	out := OverheadResult{Kind: "budget", Hosts: cfg.Hosts}
	deployment.AddTargets("a", bed.NextTargetAddr)
	deployment.AddHosts("a", cfg.Hosts, bed.NextHostAddr)
	for _, h := range deployment.Hosts {
		if err := bed.StartEntry(h); err != nil {
			return out, err
		}
	}
	if _, err := publishAndAwait(ctx, bed); err != nil {
		return out, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return out, err
	}
	before := bed.usage(ctx)
	if err := sleep(ctx, cfg.Duration); err != nil {
		return out, err
	}
	idle := bed.usage(ctx)
	out.IdleSent, out.IdleReceived, out.IdleCPU = idle.since(before, cfg.Hosts)
	out.PlatformReads = float64(idle.reads-before.reads) / idle.at.Sub(before.at).Seconds()
	if err := measurePropagation(ctx, bed, cfg.Duration, &out); err != nil {
		return out, err
	}
	after := bed.usage(ctx)
	out.ChangeSent, out.ChangeReceived, out.ChangeCPU = after.since(idle, cfg.Hosts)
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	out.HeapBytes = float64(mem.HeapAlloc) / float64(cfg.Hosts)
	return out, nil
}

// measurePropagation publishes a manifest every changeInterval for d and
// records how long each one takes to become current on all hosts.
func measurePropagation(ctx context.Context, bed *Testbed, d time.Duration, out *OverheadResult) error {
	n := 0
	total := time.Duration(0)
	for end := time.Now().Add(d); time.Now().Before(end); n++ {
		took, err := publishAndAwait(ctx, bed)
		if err != nil {
			return err
		}
		total += took
		out.PropagationMax = max(out.PropagationMax, took.Seconds())
		if err := sleep(ctx, changeInterval-min(took, changeInterval)); err != nil {
			return err
		}
	}
	out.Changes = float64(n) / d.Seconds()
	out.PropagationMean = total.Seconds() / float64(n)
	return nil
}

// publishAndAwait publishes the next manifest, waits until it is current on all
// hosts, and returns how long that took.
func publishAndAwait(ctx context.Context, bed *Testbed) (time.Duration, error) {
	version, err := bed.Publish()
	if err != nil {
		return 0, errors.Trace(err)
	}
	return bed.AwaitVersion(ctx, version)
}

func (bed *Testbed) usage(ctx context.Context) usage {
	u := usage{at: time.Now(), cpu: cpuTime(), reads: bed.Platform.Reads()}
	for _, st := range bed.EntryStatuses(ctx) {
		u.sent += st.Counters[hsentry.CounterControlBytesSent]
		u.received += st.Counters[hsentry.CounterControlBytesReceived]
	}
	return u
}

// since returns the usage between before and u: bytes sent and received per
// second and host, and processor time per host in percent of one core.
func (u usage) since(before usage, hosts int) (sent, received, cpu float64) {
	seconds := u.at.Sub(before.at).Seconds() * float64(hosts)
	sent = float64(u.sent-before.sent) / seconds
	received = float64(u.received-before.received) / seconds
	const percent = 100
	cpu = (u.cpu - before.cpu).Seconds() / seconds * percent
	return sent, received, cpu
}
