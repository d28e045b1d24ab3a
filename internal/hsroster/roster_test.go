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
	tick        = 25 * time.Millisecond
	memberCount = 8
	// maxDetectionTime is the time within which all hosts have to detect a crash.
	maxDetectionTime = time.Second
)

// cluster is a group of rosters with simulated links and a simulated clock.
type cluster struct {
	now     time.Time
	rosters []*Roster
	// Crashed hosts; they neither send nor receive.
	dead map[int]bool
	// Reports whether a message from one host to another is lost.
	lost func(from, to int) bool
	// Number of outputs, over all hosts, that reported a membership change.
	changes int
}

func newCluster() *cluster {
	c := &cluster{now: time.Unix(1000, 0), dead: map[int]bool{}, lost: func(_, _ int) bool { return false }}
	var hosts []hsmanifest.Host
	for i := range memberCount {
		hosts = append(hosts, hsmanifest.Host{Name: hostName(i)})
	}
	for i := range memberCount {
		r := New(Config{Self: hostName(i), Boot: 1, ProbeInterval: 250 * time.Millisecond, SuspectTimeout: 400 * time.Millisecond, RandomSeed: uint64(i)})
		r.SetHosts(c.now, hosts)
		c.rosters = append(c.rosters, r)
	}
	return c
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		for i, r := range c.rosters {
			if !c.dead[i] {
				c.deliver(i, r.Tick(c.now))
			}
		}
	}
}

func (c *cluster) deliver(from int, out Output) {
	if out.MembershipChanged {
		c.changes++
	}
	for _, hb := range out.Heartbeats {
		var to int
		_, _ = fmt.Sscanf(hb.To, "h%d", &to)
		if c.dead[to] || c.lost(from, to) {
			continue
		}
		answer, _ := c.rosters[to].Receive(c.now, hb.Message)
		c.deliver(to, answer)
	}
}

// TestCrash checks that all other hosts detect a crash within a second, and
// later that the host is back.
func TestCrash(t *testing.T) {
	c := newCluster()
	c.run(5 * time.Second)
	assert.Equal(t, c.changes, 0)
	c.dead[3] = true
	c.run(maxDetectionTime)
	for i, r := range c.rosters {
		assert.Check(t, i == 3 || !r.Status()[hostName(3)].Alive, "%s", hostName(i))
	}
	c.dead[3] = false
	c.run(5 * time.Second)
	for i, r := range c.rosters {
		assert.Check(t, r.Status()[hostName(3)].Alive, "%s", hostName(i))
	}
}

// TestOneWayCut checks that no host is declared dead when the messages from one
// host to one other host are lost.
func TestOneWayCut(t *testing.T) {
	c := newCluster()
	c.lost = func(from, to int) bool { return from == 1 && to == 2 }
	c.run(20 * time.Second)
	assert.Equal(t, c.changes, 0)
}

// TestLoss checks that no host is declared dead on links that lose up to 30% of
// all messages.
func TestLoss(t *testing.T) {
	for _, loss := range []float64{0.1, 0.2, 0.3} {
		c := newCluster()
		rng := rand.New(rand.NewPCG(1, 1))
		c.lost = func(_, _ int) bool { return rng.Float64() < loss }
		c.run(60 * time.Second)
		assert.Check(t, c.changes == 0, "loss %.1f: %d changes", loss, c.changes)
	}
}

// TestDroppedMessages checks that messages from hosts that are not on the host
// list, and from an earlier boot of a member, are dropped.
func TestDroppedMessages(t *testing.T) {
	c := newCluster()
	_, code := c.rosters[0].Receive(c.now, &hsschema.Heartbeat{From: "x", Boot: 9})
	assert.Equal(t, code, hscode.PeerUnknown)
	_, code = c.rosters[0].Receive(c.now, &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_ACK, From: hostName(1), Boot: 9})
	assert.Equal(t, code, hscode.OK)
	_, code = c.rosters[0].Receive(c.now, &hsschema.Heartbeat{Kind: hsschema.Heartbeat_KIND_ACK, From: hostName(1), Boot: 8})
	assert.Equal(t, code, hscode.PeerOldBoot)
}

// TestClockSetBack guards against a host that restarts with a lower boot number, since its clock was set back, and is ignored by all others.
func TestClockSetBack(t *testing.T) {
	c := newCluster()
	c.dead[3] = true
	c.run(2 * time.Second)
	var hosts []hsmanifest.Host
	for i := range memberCount {
		hosts = append(hosts, hsmanifest.Host{Name: hostName(i)})
		c.rosters[i].boot += 1000
	}
	for i, r := range c.rosters {
		if i != 3 {
			r.members[hostName(3)].boot = 1000
		}
	}
	c.rosters[3] = New(Config{Self: hostName(3), Boot: 5, ProbeInterval: 250 * time.Millisecond, SuspectTimeout: 400 * time.Millisecond, RandomSeed: 3})
	c.rosters[3].SetHosts(c.now, hosts)
	c.dead[3] = false
	c.run(2 * time.Second)
	for i, r := range c.rosters {
		for name, status := range r.Status() {
			assert.Assert(t, status.Alive, "%s considers %s dead", hostName(i), name)
		}
	}
}
