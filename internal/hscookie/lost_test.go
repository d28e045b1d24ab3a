package hscookie

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsplace"
)

type (
	// incident is what a host sees of target 1, in zone b: a flow to it is idle,
	// then the list of targets changes, and the caller sends a request.
	incident struct {
		core *Core
		flow *keptFlow
		// Lists of targets before and after the change.
		before, after []hsfeed.TargetRecord
		// Time of the change, and of the flow's last progress before it.
		at    time.Time
		quiet time.Duration
		// Status of the store after the change.
		status StoreStatus
		// Called after the change.
		then func(x *incident)
		// Flags of the caller's request, the number of times that it is sent, the
		// interval between them, and the time of the last one after the change.
		flags    Flags
		sends    int
		interval time.Duration
		wait     time.Duration
	}

	incidentCase struct {
		name   string
		change func(x *incident)
		want   Evidence
	}
)

const gracePeriod = 2300 * time.Millisecond

// alwaysAvailable is the status of a store that has been available since long
// before the test, and is so until long after it.
func alwaysAvailable() StoreStatus {
	since := epoch.Add(-time.Hour)
	return StoreStatus{Era: 1, EraSince: since, AvailableSince: since, AvailableUntil: epoch.Add(time.Hour)}
}

func newLearningCore() *Core {
	c := New(Config{
		Placement: hsplace.Config{Zone: "a", Seed: 1, UnlistedGracePeriod: gracePeriod},
		MaxFlows:  2000, MaxFlowLifetime: flowLifetime, StartTime: epoch.Add(-time.Minute), LearnCapacity: true,
	})
	c.SetConfiguration(epoch, &hsfeed.Configuration{Version: 1, Routes: []hsfeed.Route{route(deskAddr, "desk"), route(vaultAddr, "vault")}})
	c.SetStoreStatus(alwaysAvailable())
	return c
}

// entryAt returns the entry of a target at the address of target at, as written
// at a revision of era 1.
func entryAt(id, at hsfeed.TargetID, service string, start int64, revision uint64) hsfeed.TargetRecord {
	r := target(id, service)
	r.Zone, r.Address = "b", target(at, service).Address
	r.StartUnixMilli, r.Position = start, hsfeed.Position{Era: 1, Revision: revision}
	return r
}

// play returns the evidence for which the flow was reset.
func (x *incident) play(t *testing.T) Evidence {
	t.Helper()
	x.core.SetTargets(x.at.Add(-x.quiet-time.Second), x.before)
	x.flow = openKept(x.core, x.at.Add(-x.quiet-time.Second), 1)
	x.flow.request(x.core, x.at.Add(-x.quiet-time.Second))
	x.flow.answered(x.core, x.at.Add(-x.quiet))
	x.core.SetTargets(x.at, x.after)
	x.core.SetStoreStatus(x.status)
	if x.then != nil {
		x.then(x)
	}
	for i := range x.sends {
		p := Packet{From: x.flow.from, To: deskAddr, Flags: x.flags, Cookie: x.flow.cookie, Seq: x.flow.seq, Ack: x.flow.ack, DataSize: 300}
		v := x.core.HandlePacket(x.at.Add(x.wait-time.Duration(x.sends-1-i)*x.interval), &p)
		if v.Action != Refuse {
			continue
		}
		assert.Equal(t, v.Code, hscode.FlowTargetLost)
		assert.Equal(t, x.core.FlowCount(), 0)
		assert.Equal(t, x.core.Stats.ReusedResets+x.core.Stats.MissingResets, uint64(1))
		assert.Equal(t, len(x.core.LostTargets), 1)
		return x.core.LostTargets[0].Evidence
	}
	return NoEvidence
}

// moveFlow lets the flow arrive at another host, which does not track it.
func (x *incident) moveFlow() {
	x.core = newLearningCore()
	x.core.SetTargets(x.at.Add(-time.Minute), x.before)
	x.core.SetTargets(x.at, x.after)
	x.core.SetStoreStatus(x.status)
}

func playIncidents(t *testing.T, base func(x *incident), cases []incidentCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := &incident{core: newLearningCore(), at: epoch, quiet: 1500 * time.Millisecond, status: alwaysAvailable(), flags: FlagAck}
			base(x)
			if c.change != nil {
				c.change(x)
			}
			assert.Equal(t, x.play(t), c.want)
		})
	}
}

// TestAddressReused guards against a reset of a flow whose target lives although
// a later entry names its address, and against a lost flow that is not reset.
func TestAddressReused(t *testing.T) {
	base := func(x *incident) {
		x.before = []hsfeed.TargetRecord{entryAt(1, 1, "desk", 1000, 10)}
		x.after = []hsfeed.TargetRecord{x.before[0], entryAt(9, 1, "vault", 5000, 20)}
		x.sends = 1
	}
	playIncidents(t, base, []incidentCase{
		{"a later target at the address", nil, AddressReused},
		{"entry expired before", func(x *incident) { x.after = x.after[1:] }, AddressReused},
		{"unknown start", func(x *incident) { x.before[0].StartUnixMilli, x.after[0].StartUnixMilli = 0, 0 }, NoEvidence},
		{"negative start", func(x *incident) { x.before[0].StartUnixMilli, x.after[0].StartUnixMilli = -1, -1 }, NoEvidence},
		{"unknown start of the other target", func(x *incident) { x.after[1].StartUnixMilli = 0 }, NoEvidence},
		{"equal starts", func(x *incident) { x.after[1].StartUnixMilli = 1000 }, NoEvidence},
		{"other target's clock is behind", func(x *incident) { x.after[1].StartUnixMilli = 900 }, NoEvidence},
		{"another port", func(x *incident) { x.after[1].Address = target(2, "vault").Address }, NoEvidence},
		{"same ID started again", func(x *incident) { x.after = x.after[1:]; x.after[0].ID, x.after[0].Service = 1, "desk" }, NoEvidence},
		{"entry older than the target's", func(x *incident) { x.after[1].Position.Revision = 9 }, NoEvidence},
		{"target announced itself since", func(x *incident) { x.after[0].Position.Revision = 30 }, NoEvidence},
		{"entries of different eras", func(x *incident) { x.after[1].Position.Era = 2 }, NoEvidence},
		{"both listed when the host started", func(x *incident) {
			x.then = func(x *incident) {
				x.core = newLearningCore()
				x.core.SetTargets(x.at.Add(-time.Minute), x.after)
			}
		}, NoEvidence},
		{"other target listed first, its entry written again", func(x *incident) {
			x.before = []hsfeed.TargetRecord{entryAt(1, 1, "desk", 1000, 10), entryAt(9, 1, "vault", 5000, 8)}
		}, NoEvidence},
		{"other target is gone again", func(x *incident) {
			x.then = func(x *incident) { x.core.SetTargets(x.at, x.before) }
		}, NoEvidence},
		{"nothing known of the store", func(x *incident) { x.status = StoreStatus{} }, NoEvidence},
		{"another era is in force", func(x *incident) { x.status.Era = 2 }, NoEvidence},
		{"era not settled", func(x *incident) { x.status.EraSince = x.at.Add(-eraSettleTime + time.Millisecond) }, NoEvidence},
		{"the target answered when it must have ended", func(x *incident) { x.quiet = reuseMargin - time.Millisecond }, NoEvidence},
		{"the target answers a caller afterwards", func(x *incident) {
			x.then = func(x *incident) {
				x.core.SetTargets(x.at, x.before)
				f := openKept(x.core, x.at, 2)
				x.core.SetTargets(x.at, x.after)
				f.answered(x.core, x.at)
				closeFlow(x.core, x.at, 2)
			}
		}, NoEvidence},
		{"flow that this host does not track", func(x *incident) { x.then = (*incident).moveFlow }, AddressReused},
		{"packet with the reset flag", func(x *incident) { x.flags |= FlagReset; x.then = (*incident).moveFlow }, NoEvidence},
		{"packet that closes the flow", func(x *incident) { x.flags |= FlagFin; x.then = (*incident).moveFlow }, NoEvidence},
		{"packet without acknowledgement", func(x *incident) { x.flags = 0 }, NoEvidence},
		{"closed flow", func(x *incident) {
			x.then = func(x *incident) { x.flow.close(x.core, x.at) }
		}, NoEvidence},
		{"not active", func(x *incident) { x.core.cfg.LearnCapacity = false }, NoEvidence},
	})
}

// TestEntryMissing guards against a reset of a flow whose target lives although
// its entry has lapsed, and against a lost flow that is not reset.
func TestEntryMissing(t *testing.T) {
	base := func(x *incident) {
		x.before = []hsfeed.TargetRecord{entryAt(1, 1, "desk", 1000, 10)}
		x.sends, x.interval, x.wait = 3, 1200*time.Millisecond, 3*time.Second
		x.status.AvailableUntil = x.at.Add(gracePeriod + time.Millisecond)
	}
	playIncidents(t, base, []incidentCase{
		{"silent flow to a target without entry", nil, EntryMissing},
		{"unknown start", func(x *incident) { x.before[0].StartUnixMilli = 0 }, EntryMissing},
		{"data sent twice", func(x *incident) { x.sends, x.interval = 2, 2400*time.Millisecond }, NoEvidence},
		{"silent for no longer than the grace period", func(x *incident) { x.interval = gracePeriod / 2 }, NoEvidence},
		{"store available for no longer than the grace period", func(x *incident) { x.status.AvailableUntil = x.at.Add(gracePeriod) }, NoEvidence},
		{"store returned after the entry lapsed", func(x *incident) { x.status.AvailableSince = x.at.Add(time.Millisecond) }, NoEvidence},
		{"store returned, and the grace period has passed since", func(x *incident) {
			x.status.AvailableSince = x.at.Add(time.Second)
			x.status.AvailableUntil = x.at.Add(time.Second + gracePeriod + time.Millisecond)
		}, EntryMissing},
		{"interval that ends before it begins", func(x *incident) {
			x.status.AvailableSince, x.status.AvailableUntil = x.status.AvailableUntil, x.status.AvailableSince
		}, NoEvidence},
		{"availability not known", func(x *incident) { x.status.AvailableSince = time.Time{} }, NoEvidence},
		{"nothing known of the store", func(x *incident) { x.status = StoreStatus{} }, NoEvidence},
		{"entry missing in a restored copy", func(x *incident) { x.status.Era, x.status.EraSince = 2, x.at }, NoEvidence},
		{"entry missing in a restored copy since long", func(x *incident) {
			x.status.Era, x.status.EraSince = 2, x.at
			x.status.AvailableUntil = x.at.Add(eraSettleTime + gracePeriod + time.Millisecond)
		}, EntryMissing},
		{"listed again", func(x *incident) {
			x.then = func(x *incident) { x.core.SetTargets(x.at.Add(time.Second), x.before) }
		}, NoEvidence},
		{"listed again, then removed again", func(x *incident) {
			x.then = func(x *incident) {
				x.core.SetTargets(x.at.Add(time.Second), x.before)
				x.core.SetTargets(x.at.Add(1500*time.Millisecond), nil)
			}
		}, NoEvidence},
		{"listed, no flow with progress", func(x *incident) { x.after = x.before; x.then = (*incident).moveFlow }, NoEvidence},
		{"another flow to the target makes progress", func(x *incident) {
			x.then = func(x *incident) {
				f := &keptFlow{from: callerWithPort(2), cookie: x.flow.cookie, ack: 5000}
				f.acknowledge(x.core, x.at)
				f.answered(x.core, x.at.Add(time.Millisecond))
				closeFlow(x.core, x.at, 2)
			}
		}, NoEvidence},
		{"zone ejected and not answered since", func(x *incident) {
			x.after = []hsfeed.TargetRecord{entryAt(2, 2, "desk", 1000, 10)}
			x.then = func(x *incident) {
				for port := range uint16(8) {
					at := x.at.Add(time.Duration(port) * 10 * time.Millisecond)
					x.core.HandlePacket(at, openPacket(callerWithPort(50+port), deskAddr))
				}
				x.core.Tick(x.at.Add(time.Second))
			}
		}, NoEvidence},
		{"not active", func(x *incident) { x.core.cfg.LearnCapacity = false }, NoEvidence},
	})
}

// TestMissingEntryOfDrainingTarget guards against flows that wait for a target
// that drained and left, and against the end of flows that it still serves.
func TestMissingEntryOfDrainingTarget(t *testing.T) {
	for _, progress := range []bool{false, true} {
		c := newLearningCore()
		list := []hsfeed.TargetRecord{entryAt(1, 1, "desk", 1000, 10)}
		c.SetTargets(epoch, list)
		f := openKept(c, epoch, 1)
		list[0].Draining = true
		c.SetTargets(epoch, list)
		c.SetTargets(epoch.Add(time.Second), nil)
		f.request(c, epoch.Add(2*time.Second))
		f.seq -= 300
		f.send(c, epoch.Add(3*time.Second), 300)
		if progress {
			f.ack += 100
		}
		f.send(c, epoch.Add(5*time.Second), 300)
		assert.Equal(t, c.Stats.MissingResets, uint64(map[bool]int{false: 1, true: 0}[progress]))
	}
}

// TestSilentSends guards against counting different data, or data that was sent
// before progress, as the same data sent again.
func TestSilentSends(t *testing.T) {
	type packet struct{ seq, ack, size int }
	cases := []struct {
		name    string
		packets []packet
		want    uint8
	}{
		{"three times", []packet{{0, 1, 10}, {0, 1, 10}, {0, 1, 10}}, 3},
		{"more often", []packet{{0, 1, 10}, {0, 1, 10}, {0, 1, 10}, {0, 1, 10}, {0, 1, 10}}, 3},
		{"different data", []packet{{0, 1, 10}, {10, 1, 10}, {20, 1, 10}}, 1},
		{"three packets, twice", []packet{{0, 1, 10}, {10, 1, 10}, {20, 1, 10}, {0, 1, 10}, {10, 1, 10}, {20, 1, 10}}, 2},
		{"first of three again and again", []packet{{0, 1, 10}, {10, 1, 10}, {20, 1, 10}, {0, 1, 10}, {0, 1, 10}}, 3},
		{"progress between", []packet{{0, 1, 10}, {0, 1, 10}, {0, 2, 10}}, 1},
		{"acknowledgements only", []packet{{0, 1, 0}, {0, 1, 0}, {0, 1, 0}}, 0},
		{"number wraps", []packet{{-5, 1, 10}, {-5, 1, 10}, {-5, 1, 10}}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core := newLearningCore()
			core.SetTargets(epoch, []hsfeed.TargetRecord{target(1, "desk")})
			f := openKept(core, epoch, 1)
			for _, p := range c.packets {
				f.seq, f.ack = uint32(p.seq), uint32(6000+p.ack)
				f.send(core, epoch, p.size)
			}
			key := keyOf(f)
			assert.Equal(t, core.flows.Get(&key, key.Hash()).sends, c.want)
		})
	}
}

// newReplaced returns a core with n idle flows to target 1 of which another
// target took the address, and the time at which the entry of that arrived.
func newReplaced(n, closed int) (*Core, time.Time) {
	c := newLearningCore()
	before := []hsfeed.TargetRecord{entryAt(1, 1, "desk", 1000, 10)}
	c.SetTargets(epoch, before)
	for i := range n {
		f := openKept(c, epoch, uint16(i+1))
		f.request(c, epoch)
		f.answered(c, epoch.Add(20*time.Millisecond))
		if i < closed {
			f.close(c, epoch.Add(30*time.Millisecond))
		}
	}
	now := epoch
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		c.Tick(now)
	}
	c.SetTargets(now, append(before, entryAt(9, 1, "vault", 5000, 20)))
	return c, now
}

// TestIdleFlowsAreReset guards against idle flows that wait for their next
// request, which callers may not repeat, and against too many resets at once.
func TestIdleFlowsAreReset(t *testing.T) {
	const flows, closed = 700, 50
	c, now := newReplaced(flows, closed)
	seen := map[uint16]bool{}
	var times []time.Time
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		c.Tick(now)
		for p, v, ok := c.NextReset(); ok; p, v, ok = c.NextReset() {
			assert.Equal(t, v.Action, Refuse)
			assert.Equal(t, v.Code, hscode.FlowTargetLost)
			assert.Equal(t, p.To, deskAddr)
			assert.Equal(t, p.Ack, uint32(7400))
			assert.Assert(t, !p.HasAny(FlagOpen) && p.From.Port() > closed && !seen[p.From.Port()])
			seen[p.From.Port()] = true
			times = append(times, now)
		}
	}
	assert.Equal(t, len(times), flows-closed)
	for i := maxResets; i < len(times); i++ {
		assert.Assert(t, times[i].Sub(times[i-maxResets]) >= resetInterval, "reset %d", i)
	}
	assert.Equal(t, c.Stats.ReusedResets, uint64(flows-closed))
	assert.Equal(t, len(c.LostTargets), 1)
	assert.Equal(t, c.LostTargets[0].Successor, hsfeed.TargetID(9))
}

// TestNoIdleReset guards against a reset of a flow that the caller has closed or
// replaced, or that is no longer idle, and of any flow if the feature is not
// active.
func TestNoIdleReset(t *testing.T) {
	cases := []struct {
		name   string
		before func(c *Core, now time.Time)
		wait   time.Duration
		want   bool
	}{
		{"idle", func(*Core, time.Time) {}, time.Second, true},
		{"idle for too long", func(*Core, time.Time) {}, idleTrackTime, false},
		{"closed by a host that has just adopted it", func(c *Core, now time.Time) {
			c.HandlePacket(now, laterPacket(callerWithPort(1), deskAddr, NewCookie("desk", 1)))
			closeFlow(c, now, 1)
		}, time.Second, false},
		{"port and number used again", func(c *Core, now time.Time) {
			c.SetTargets(now, nil)
			c.HandlePacket(now, openPacket(callerWithPort(1), deskAddr))
		}, time.Second, false},
		{"closed after a pause", func(c *Core, now time.Time) { closeFlow(c, now, 1) }, time.Second, false},
		{"port used again", func(c *Core, now time.Time) {
			p := openPacket(callerWithPort(1), deskAddr)
			p.Seq = 12345
			c.SetTargets(now, nil)
			c.HandlePacket(now, p)
		}, time.Second, false},
		{"not active", func(c *Core, _ time.Time) { c.cfg.LearnCapacity = false }, time.Second, false},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newLearningCore()
			before := []hsfeed.TargetRecord{entryAt(1, 1, "desk", 1000, 10)}
			c.SetTargets(epoch, before)
			openKept(c, epoch, 1)
			now := epoch
			tick := func(d time.Duration) {
				for end := now.Add(d); now.Before(end); {
					now = now.Add(50 * time.Millisecond)
					c.Tick(now)
				}
			}
			tick(3 * time.Second)
			k.before(c, now)
			tick(k.wait)
			c.SetTargets(now, append(before, entryAt(9, 1, "vault", 5000, 20)))
			tick(50 * time.Millisecond)
			_, _, ok := c.NextReset()
			assert.Equal(t, ok, k.want)
		})
	}
}

// TestResetLimit guards against more resets than the limit in answer to packets:
// further packets are forwarded, and their callers send them again.
func TestResetLimit(t *testing.T) {
	c, now := newReplaced(maxResets+100, 0)
	reset := 0
	for i := range maxResets + 100 {
		p := laterPacket(callerWithPort(uint16(i+1)), deskAddr, NewCookie("desk", 1))
		if c.HandlePacket(now.Add(time.Duration(i)*10*time.Microsecond), p).Action == Refuse {
			reset++
		}
	}
	assert.Equal(t, reset, maxResets)
	p := laterPacket(callerWithPort(maxResets+50), deskAddr, NewCookie("desk", 1))
	assert.Equal(t, c.HandlePacket(now.Add(resetInterval), p).Action, Refuse)
}

// TestOpeningOfLostTarget guards against an opening packet that is sent again and
// again to a target that no longer exists.
func TestOpeningOfLostTarget(t *testing.T) {
	c := newLearningCore()
	before := []hsfeed.TargetRecord{entryAt(1, 1, "desk", 1000, 10)}
	c.SetTargets(epoch, before)
	p := openPacket(caller, deskAddr)
	assert.Equal(t, c.HandlePacket(epoch, p).Target, hsfeed.TargetID(1))
	c.SetTargets(epoch.Add(100*time.Millisecond), []hsfeed.TargetRecord{entryAt(9, 1, "vault", 5000, 20), entryAt(2, 2, "desk", 1000, 21)})
	c.ApplyEjections(epoch.Add(100*time.Millisecond), []hsfeed.TargetID{1}, time.Second)
	p.Retransmits = 1
	assert.Equal(t, c.HandlePacket(epoch.Add(200*time.Millisecond), p).Target, hsfeed.TargetID(2))
}

// keyOf returns the key of a kept flow.
func keyOf(f *keptFlow) hsflow.Key {
	p := Packet{From: f.from, To: deskAddr}
	return p.Key()
}

// TestNoParkingUnlessActive guards against flows that are kept for a reset
// although the feature is not active.
func TestNoParkingUnlessActive(t *testing.T) {
	for _, active := range []bool{false, true} {
		c := newLearningCore()
		c.cfg.LearnCapacity = active
		c.SetTargets(epoch, []hsfeed.TargetRecord{target(1, "desk")})
		openKept(c, epoch, 1).answered(c, epoch)
		c.Tick(epoch.Add(flowTimeout))
		assert.Equal(t, c.FlowCount() == 1, active)
		assert.Equal(t, expected(c), 0.0)
		assert.Equal(t, requests(c), 0)
	}
}
