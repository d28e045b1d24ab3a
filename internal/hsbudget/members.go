package hsbudget

import (
	"maps"
	"slices"
	"time"
)

type (
	// Members remembers the hosts that one host has heard of, and derives the
	// number of hosts that it has to share a target's rate with. A number that is
	// too high leaves capacity unused; one that is too low lets hosts together
	// exceed the rate. It is therefore only lowered by time. It is not safe for
	// concurrent use.
	//
	// Times are of this host's clock and only their differences are used, so that
	// they are not affected by a clock that is set if they carry a monotonic
	// reading. Times that go back keep names for longer.
	Members struct {
		self string
		// Availability zone of this host.
		zone    string
		started time.Time
		// Other hosts, dead ones included, at most MaxCount-1.
		heard map[string]heardMember
		// Number of members by zone, this host included; without members whose
		// zone is unknown.
		byZone map[string]int
		// True if heard has other names than view.
		stale bool
		// Time of the last removal of hosts that were not heard of for memberTime.
		lastSweep time.Time
		// Number of other members that answer now.
		alive int
		// True once this host has had contact with nearly all members that it had
		// heard of, while their number did not grow: what it knows then is not the
		// part of the members that it is cut off with.
		complete bool
		// Seeds that this process has never heard of.
		silentSeeds map[string]bool
		// Largest count that a peer has sent in the current and in the previous
		// interval of countInterval, and start of the current one.
		peerCount     int
		lastPeerCount int
		countSince    time.Time
		// Number of members at growthSince, and time at which it was last found to
		// grow.
		growthBase  int
		growthSince time.Time
		grownAt     time.Time
		view        View
	}

	heardMember struct {
		zone string
		at   time.Time
	}

	// View is what a host needs to know of the members to find its Share.
	View struct {
		// All members in any order, this host included. Immutable.
		Names []string
		// Number of members to assume; at least len(Names), at most MaxCount.
		Count int
	}
)

const (
	// MaxCount is the largest number of members that is assumed, whatever peers
	// say. It equals the number of peers that a host keeps.
	MaxCount = 4096
	// memberTime is the time for which a host counts after it was last heard of.
	memberTime    = 10 * time.Minute
	sweepInterval = time.Second
	// countInterval is half of the time for which a count sent by a peer is used.
	countInterval = 5 * time.Second
	// settleTime is the time after the start, and after the number of members
	// grew, in which the host assumes that it knows few of them.
	settleTime = 3 * time.Second
	// growthDivisor is the part of the members by which their number has to
	// rise within settleTime to count as growth: a single host that is added to
	// many does not change the shares much.
	growthDivisor = 8
	// isolatedCount is the number of members that is assumed by a host that may
	// have started while it was cut off: that of the largest deployment. In the
	// exploration three groups of hosts that started while they were cut off from
	// each other each took the whole rate.
	isolatedCount = 300
	// maxSeeds limits the seeds that are awaited.
	maxSeeds = 16
	// unsettledCount is the number of members that is assumed in settleTime: four
	// times the 300 hosts of the largest deployment. The flows of hosts that know
	// few of each other are distributed as random ones. With 300 at a rate of 1,
	// seven hosts use the same slot in one of 12,000 slots, which exceeds the
	// bound; with 1,200 in one of 10^8.
	unsettledCount = 1200
	// unsettledFactor is the same for more hosts than the largest deployment has.
	unsettledFactor = 4
)

// NewMembers returns the members of a host that has just started.
func NewMembers(now time.Time, self, zone string) *Members {
	return &Members{
		self: self, zone: zone, started: now, heard: map[string]heardMember{}, byZone: map[string]int{zone: 1}, stale: true,
		silentSeeds: map[string]bool{}, lastSweep: now,
		countSince: now, growthBase: 1, growthSince: now, grownAt: now,
	}
}

// AddSeed records a host that this host was told to contact first. It need not
// exist.
func (m *Members) AddSeed(name string) {
	if _, known := m.heard[name]; !known && name != m.self && len(m.silentSeeds) < maxSeeds {
		m.silentSeeds[name] = true
	}
}

// Hear records that another host was alive at the given time. zone is empty if it
// is not known yet.
func (m *Members) Hear(at time.Time, name, zone string) {
	old, known := m.heard[name]
	if name == m.self || (!known && len(m.heard) >= MaxCount-1) {
		return
	}
	if old.at.After(at) {
		at = old.at
	}
	if !known {
		m.stale = true
		delete(m.silentSeeds, name)
	}
	if !known || old.zone != zone {
		m.countZone(old.zone, -1)
		m.countZone(zone, 1)
	}
	m.heard[name] = heardMember{zone: zone, at: at}
}

func (m *Members) countZone(zone string, n int) {
	if zone == "" {
		return
	}
	if m.byZone[zone] += n; m.byZone[zone] <= 0 {
		delete(m.byZone, zone)
	}
}

// SetAlive sets the number of other members that answer now.
func (m *Members) SetAlive(n int) { m.alive = n }

// HearCount records the number of members that a peer has sent: the hosts that it
// has itself heard of. Counts of different peers and times are compared by size
// only. One that is lower than before, zero, late or repeated has no effect, and
// one above MaxCount counts as MaxCount.
func (m *Members) HearCount(now time.Time, n uint32) {
	m.rotate(now)
	m.peerCount = max(m.peerCount, int(min(n, MaxCount)))
}

// Own returns the number of members that this host has heard of, itself included,
// which it sends to peers.
func (m *Members) Own() int { return len(m.heard) + 1 }

// Update removes hosts that were not heard of for memberTime and returns the
// current view, and whether it changed. zones are the availability zones that
// have targets. If no host of one of them was heard of, this host may be cut off
// from it, and assumes as many hosts there as it knows in each other zone.
func (m *Members) Update(now time.Time, zones []string) (View, bool) {
	m.rotate(now)
	m.sweep(now)
	count := max(m.withMissingZones(zones), m.peerCount, m.lastPeerCount)
	growing := m.growing(now, count)
	if m.isolated(now, growing) {
		count = max(count, isolatedCount)
	}
	if growing {
		count = max(unsettledCount, unsettledFactor*count)
	}
	count = min(max(count, m.Own()), MaxCount)
	changed := m.stale || count != m.view.Count
	if m.stale {
		m.view.Names = append(slices.Collect(maps.Keys(m.heard)), m.self)
		m.stale = false
	}
	m.view.Count = count
	return m.view, changed
}

// withMissingZones returns the number of members, with as many more for each zone
// that has targets and no known host as the other zones have on average.
func (m *Members) withMissingZones(zones []string) int {
	withHosts := len(m.byZone)
	all := withHosts
	for i, z := range zones {
		if m.byZone[z] == 0 && !slices.Contains(zones[:i], z) {
			all++
		}
	}
	return (m.Own()*all + withHosts - 1) / withHosts
}

// sweep removes hosts that were not heard of for memberTime.
func (m *Members) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < sweepInterval {
		return
	}
	m.lastSweep = now
	for name, h := range m.heard {
		if now.Sub(h.at) >= memberTime {
			delete(m.heard, name)
			m.countZone(h.zone, -1)
			m.stale = true
		}
	}
}

// isolated reports whether this host may have started while it was cut off, or
// just before: it has not been complete since, because it never heard of some
// seed, or a noticeable part of the members does not answer. After memberTime,
// these count as removed. The counts of peers are no evidence that it knows all:
// they may be cut off together with it.
func (m *Members) isolated(now time.Time, growing bool) bool {
	missing := len(m.heard) - m.alive
	if !growing && len(m.silentSeeds) == 0 && missing <= m.Own()/growthDivisor {
		m.complete = true
	}
	return !m.complete && now.Sub(m.started) < memberTime
}

// growing reports whether this host has just started or the number of members
// has risen by a noticeable part of it within settleTime.
func (m *Members) growing(now time.Time, count int) bool {
	if count > m.growthBase+m.growthBase/growthDivisor {
		m.grownAt = now
		m.growthBase, m.growthSince = count, now
	}
	if now.Sub(m.growthSince) >= settleTime {
		m.growthBase, m.growthSince = count, now
	}
	return now.Sub(m.started) < settleTime || now.Sub(m.grownAt) < settleTime
}

func (m *Members) rotate(now time.Time) {
	switch elapsed := now.Sub(m.countSince); {
	case elapsed < 0:
	case elapsed >= 2*countInterval:
		m.peerCount, m.lastPeerCount = 0, 0
	case elapsed >= countInterval:
		m.peerCount, m.lastPeerCount = 0, m.peerCount
	default:
		return
	}
	m.countSince = now
}
