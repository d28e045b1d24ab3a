package hslab

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hspacket"
	"heatherstack.org/heatherstack/internal/hssocket"
)

type (
	// RelayConfig configures the relay measurement, which compares the packet
	// rate of an entry host with that of a bare UDP forwarder.
	RelayConfig struct {
		// Length of each turn after its warm-up.
		Duration time.Duration
		// Number of turns for each forwarder.
		Turns int
		// Second byte of the loopback addresses, 127.N.x.y.
		Subnet uint8
		// Payload of each packet in bytes.
		PayloadSize int
	}

	// RelayResult is the result of the relay measurement.
	RelayResult struct {
		Kind        string `json:"kind"`
		PayloadSize int    `json:"size"`
		// Packets per second that reached the target in the best turn, through
		// the bare forwarder and through the entry host.
		Bare  float64 `json:"bare"`
		Entry float64 `json:"entry"`
		// Entry divided by Bare.
		Ratio float64 `json:"ratio"`
		// Processor time of the whole process per packet in nanoseconds. Both
		// figures include the generator and the sink.
		BareCPU  float64 `json:"bareCPU"`
		EntryCPU float64 `json:"entryCPU"`
	}

	// relay measures one hop of the real data path and, for comparison, a bare
	// forwarder.
	relay struct {
		cfg  RelayConfig
		bed  *Testbed
		sink *net.UDPConn
		// Packets that the sink received.
		arrived atomic.Uint64
	}
)

const (
	relayFlows  = 256
	relayWarmUp = 500 * time.Millisecond
)

// MeasureRelay measures the bare forwarder and the entry host in alternate
// turns and returns the best turn of each.
func MeasureRelay(ctx context.Context, cfg RelayConfig) (RelayResult, error) {
	deployment := &Deployment{
		Pools:    []PoolPlan{{Name: "desk", TargetsPerBuilding: 1, Slots: 1, MaxConnections: 1 << 20}},
		Services: DefaultServices()[:1],
	}
	bed, err := NewTestbed(ctx, TestbedConfig{Deployment: deployment, Seed: 1, Subnet: cfg.Subnet, Scale: 1})
	if err != nil {
		return RelayResult{}, errors.Trace(err)
	}
	r := &relay{cfg: cfg, bed: bed}
	result, err := r.run(bed.ctx, deployment)
	if closeErr := bed.Close(); err == nil {
		err = closeErr
	}
	return result, errors.Trace(err)
}

func (r *relay) run(ctx context.Context, deployment *Deployment) (RelayResult, error) {
	deployment.AddTargets("a", r.bed.NextTargetAddr)
	deployment.AddHosts("a", 1, r.bed.NextHostAddr)
	sink, err := r.bed.listen(netip.AddrPortFrom(deployment.Targets[0].Address, GenevePort))
	if err != nil {
		return RelayResult{}, errors.Trace(err)
	}
	r.sink = sink
	defer func() { _ = sink.Close() }()
	r.bed.g.Go(r.runSink)
	bareAddr := netip.AddrPortFrom(r.bed.NextHostAddr(), GenevePort)
	if err := r.startBare(bareAddr, netip.AddrPortFrom(deployment.Targets[0].Address, GenevePort)); err != nil {
		return RelayResult{}, errors.Trace(err)
	}
	if err := r.bed.StartEntry(deployment.Hosts[0]); err != nil {
		return RelayResult{}, errors.Trace(err)
	}
	version, err := r.bed.Publish()
	if err != nil {
		return RelayResult{}, errors.Trace(err)
	}
	if _, err := r.bed.AwaitVersion(ctx, version); err != nil {
		return RelayResult{}, errors.Trace(err)
	}
	return r.measure(ctx, bareAddr, netip.AddrPortFrom(deployment.Hosts[0].Address, GenevePort))
}

func (r *relay) measure(ctx context.Context, bare, entry netip.AddrPort) (RelayResult, error) {
	out := RelayResult{Kind: "relay", PayloadSize: r.cfg.PayloadSize}
	for range r.cfg.Turns {
		rate, cpu, err := r.measureTurn(ctx, bare)
		if err != nil {
			return out, err
		}
		if rate > out.Bare {
			out.Bare, out.BareCPU = rate, cpu
		}
		if rate, cpu, err = r.measureTurn(ctx, entry); err != nil {
			return out, err
		}
		if rate > out.Entry {
			out.Entry, out.EntryCPU = rate, cpu
		}
	}
	out.Ratio = out.Entry / out.Bare
	return out, nil
}

// measureTurn floods one forwarder and returns the packets per second that
// reached the sink, and the processor time per packet in nanoseconds.
func (r *relay) measureTurn(ctx context.Context, to netip.AddrPort) (rate, cpu float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, relayWarmUp+r.cfg.Duration)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.generate(ctx, to) })
	if err := sleep(ctx, relayWarmUp); err != nil {
		return 0, 0, err
	}
	before, cpuBefore, start := r.arrived.Load(), cpuTime(), time.Now()
	<-ctx.Done()
	n := float64(r.arrived.Load() - before)
	cpu = float64(cpuTime()-cpuBefore) / max(n, 1)
	rate = n / time.Since(start).Seconds()
	return rate, cpu, g.Wait()
}

// generate opens the flows and sends packets of them as fast as the socket
// accepts them.
func (r *relay) generate(ctx context.Context, to netip.AddrPort) error {
	out := hssocket.NewSender(hssocket.NewConn(r.bed.fabricConn))
	packets, err := r.buildPackets(hspacket.SYN)
	if err != nil {
		return err
	}
	for _, p := range packets {
		out.Send(to, p)
	}
	out.Flush()
	if packets, err = r.buildPackets(hspacket.ACK); err != nil {
		return err
	}
	for ctx.Err() == nil {
		for _, p := range packets {
			out.Send(to, p)
		}
		out.Flush()
	}
	return nil
}

// buildPackets returns one packet per flow with its tunnel header: a SYN if f
// is SYN, and a data segment if f is ACK.
func (r *relay) buildPackets(f hspacket.Flags) ([][]byte, error) {
	workload := r.bed.cfg.Deployment.Services[0].Workload
	var out [][]byte
	for i := range relayFlows {
		s := hspacket.Spec{
			Proto: hsflow.TCP,
			Src:   netip.AddrPortFrom(callerAddr(true, i), firstPort),
			Dst:   workload.ServiceAddr,
			Seg:   hspacket.Segment{Flags: f, Seq: 1},
		}
		if f == hspacket.ACK {
			// The data segments have no ACK bit: the sink never answers, so the
			// target's owner must treat them as segments of an opening flow.
			s.Seg.Flags = hspacket.PSH
			s.Payload = make([]byte, r.cfg.PayloadSize)
		}
		inner, err := hspacket.Build(s)
		if err != nil {
			return nil, errors.Trace(err)
		}
		buf := make([]byte, hspacket.Headroom+len(inner))
		copy(buf[hspacket.Headroom:], inner)
		out = append(out, buf[hspacket.PrependHeader(buf, hspacket.Headroom, &hspacket.Steering{}):])
	}
	return out, nil
}

// runSink counts the packets that reach the target's address.
func (r *relay) runSink() error {
	conn := hssocket.NewConn(r.sink)
	b := hssocket.NewBatch()
	for {
		n, err := conn.ReadBatch(b.Messages, 0)
		if err != nil {
			return nil
		}
		r.arrived.Add(uint64(n))
	}
}

// startBare starts the bare forwarder, which only reads batches of packets and
// sends them on.
func (r *relay) startBare(at, to netip.AddrPort) error {
	conn, err := r.bed.listen(at)
	if err != nil {
		return errors.Trace(err)
	}
	r.bed.g.Go(func() error {
		<-r.bed.ctx.Done()
		return errors.Trace(conn.Close())
	})
	r.bed.g.Go(func() error {
		batched := hssocket.NewConn(conn)
		out := hssocket.NewSender(batched)
		b := hssocket.NewBatch()
		for {
			n, err := batched.ReadBatch(b.Messages, 0)
			if err != nil {
				return nil
			}
			for i := range n {
				out.Send(to, b.Buffers[i][hssocket.DatagramOffset:hssocket.DatagramOffset+b.Messages[i].N])
			}
			out.Flush()
		}
	})
	return nil
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
