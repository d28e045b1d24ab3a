package hsroster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsmanifest"
	"heatherstack.org/heatherstack/internal/hsschema"
)

const (
	tick    = 25 * time.Millisecond
	members = 8
	// detection is the time within which a crash has to be known to all.
	detection = time.Second
)

// ring is some rosters joined by a lossy link under a test clock.
type ring struct {
	now     time.Time
	rosters []*Roster
	// Hosts that neither send nor receive.
	dead map[int]bool
	// Reports whether a message from one host to another is lost.
	lost func(from, to int) bool
	// Steps in which a host's view of who is alive changed.
	flaps int
}

func newRing() *ring {
	r := &ring{now: time.Unix(1000, 0), dead: map[int]bool{}, lost: func(_, _ int) bool { return false }}
	var hosts []hsmanifest.Host
	for i := range members {
		hosts = append(hosts, hsmanifest.Host{Name: name(i)})
	}
	for i := range members {
		m := New(Config{Self: name(i), Boot: 1, Probe: 250 * time.Millisecond, Suspect: 400 * time.Millisecond, Seed: uint64(i)})
		m.SetHosts(r.now, hosts)
		r.rosters = append(r.rosters, m)
	}
	return r
}

func name(i int) string { return fmt.Sprintf("h%d", i) }

func (r *ring) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(tick) {
		for i, m := range r.rosters {
			if !r.dead[i] {
				r.carry(i, m.Tick(r.now))
			}
		}
	}
}

func (r *ring) carry(from int, out Output) {
	if out.Changed {
		r.flaps++
	}
	for _, s := range out.Sends {
		var to int
		_, _ = fmt.Sscanf(s.To, "h%d", &to)
		if r.dead[to] || r.lost(from, to) {
			continue
		}
		answer, _ := r.rosters[to].Receive(r.now, s.Message)
		r.carry(to, answer)
	}
}

// TestCrash checks that a crash is known to all within a second, and a return
// too.
func TestCrash(t *testing.T) {
	r := newRing()
	r.run(5 * time.Second)
	assert.Equal(t, r.flaps, 0)
	r.dead[3] = true
	r.run(detection)
	for i, m := range r.rosters {
		assert.Check(t, i == 3 || !m.Status()[name(3)].Alive, "%s", name(i))
	}
	r.dead[3] = false
	r.run(5 * time.Second)
	for i, m := range r.rosters {
		assert.Check(t, m.Status()[name(3)].Alive, "%s", name(i))
	}
}

// TestOneWayCut checks that a host which one other cannot reach stays alive.
func TestOneWayCut(t *testing.T) {
	r := newRing()
	r.lost = func(from, to int) bool { return from == 1 && to == 2 }
	r.run(20 * time.Second)
	assert.Equal(t, r.flaps, 0)
}

// TestLoss checks that links which lose up to three tenths of all messages do
// not make views change.
func TestLoss(t *testing.T) {
	for _, loss := range []float64{0.1, 0.2, 0.3} {
		r := newRing()
		rng := rand.New(rand.NewPCG(1, 1))
		r.lost = func(_, _ int) bool { return rng.Float64() < loss }
		r.run(60 * time.Second)
		assert.Check(t, r.flaps == 0, "loss %.1f: %d changes", loss, r.flaps)
	}
}

// TestStrangers checks that hosts outside the list, and messages of an earlier
// boot, are dropped.
func TestStrangers(t *testing.T) {
	r := newRing()
	_, code := r.rosters[0].Receive(r.now, &hsschema.Heartbeat{From: "x", Boot: 9})
	assert.Equal(t, code, hscode.PeerUnknown)
	_, code = r.rosters[0].Receive(r.now, &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_ACK, From: name(1), Boot: 9})
	assert.Equal(t, code, hscode.OK)
	_, code = r.rosters[0].Receive(r.now, &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_ACK, From: name(1), Boot: 8})
	assert.Equal(t, code, hscode.PeerOldBoot)
}
