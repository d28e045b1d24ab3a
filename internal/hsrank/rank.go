// Package hsrank selects the targets of flows: those that a new flow may be
// placed on, and those that may already hold an existing flow. It also assigns
// each target its owner, the entry host that handles all packets of the target.
//
// The results are a pure function of the manifest, its history and the set of
// entry hosts believed alive, so hosts with the same inputs agree without
// exchanging messages.
package hsrank

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"heatherstack.org/heatherstack/internal/hsmanifest"
)

type (
	// generation is the set of targets on which new flows of a service were
	// placed from some version of the manifest on, grouped by availability
	// zone.
	generation struct {
		zones []zoneGroup
		// True if all zones have the same weight.
		equalWeights bool
		// True if the generation is assumed rather than recorded: it covers the
		// time before the oldest recorded generation. Any of its members may
		// then hold a flow, not only the highest-ranked ones.
		assumed bool
	}

	// zoneGroup holds the members of one availability zone.
	zoneGroup struct {
		// Index into View.Zones.
		zone int
		// Hash of the zone's name.
		seed    uint64
		weight  uint32
		members []member
		// True if all members have the same weight.
		equalWeights bool
	}

	// member is a target in a generation.
	member struct {
		// Index into View.Targets.
		target int
		// Hash of the target's ID.
		seed   uint64
		weight uint32
	}
)

// MaxCandidates is the maximum number of candidates for one flow.
const MaxCandidates = 16

// placementChoices is the number of targets between which a new flow is placed,
// as in power-of-two-choices load balancing.
const placementChoices = 2

// maxZones is the maximum number of zones from which one generation adds
// candidates.
const maxZones = 4

// mix combines two uniformly distributed hashes into one: it multiplies to 128
// bits and XORs the two halves, as wyhash does.
func mix(hash, seed uint64) uint64 {
	const factor = 0x9E3779B97F4A7C15
	high, low := bits.Mul64(hash^seed, factor)
	return high ^ low
}

// score returns the weighted rendezvous score for a hash. The member or zone
// with the highest score is selected, each with a probability proportional to
// its weight.
func score(h uint64, weight uint32) float64 {
	const scale = 1.0 / (1 << 53)
	u := (float64(h>>11) + 0.5) * scale
	return float64(weight) / -math.Log(u)
}

// top returns the target of the highest-scored member, leaving out target skip.
// It returns -1 if there is no other member.
func (g *zoneGroup) top(hash uint64, skip int) int {
	if g.equalWeights {
		return g.topEqualWeights(hash, skip)
	}
	best := -1
	bestScore := -1.0
	for i := range g.members {
		m := &g.members[i]
		if m.target == skip {
			continue
		}
		if s := score(mix(hash, m.seed), m.weight); s > bestScore {
			best = i
			bestScore = s
		}
	}
	if best < 0 {
		return -1
	}
	return g.members[best].target
}

// topEqualWeights is top for members of equal weight. Their scores sort like
// their hashes, so it compares the hashes and computes no logarithm.
func (g *zoneGroup) topEqualWeights(hash uint64, skip int) int {
	best := -1
	var bestHash uint64
	for i := range g.members {
		m := &g.members[i]
		if h := mix(hash, m.seed); m.target != skip && (best < 0 || h>>11 > bestHash>>11) {
			best = m.target
			bestHash = h
		}
	}
	return best
}

// topZone returns the index into g.zones of the highest-scored reachable zone,
// or -1 if no zone is reachable.
func (g *generation) topZone(hash uint64, reachable []bool) int {
	best := -1
	bestScore := -1.0
	for i := range g.zones {
		z := &g.zones[i]
		if !reachable[z.zone] {
			continue
		}
		s := g.zoneScore(z, hash)
		if s > bestScore {
			best = i
			bestScore = s
		}
	}
	return best
}

// zoneScore returns a value by which zones are ranked: the rendezvous score, or
// the hash, which gives the same order, if all zones have the same weight.
func (g *generation) zoneScore(z *zoneGroup, hash uint64) float64 {
	h := mix(hash, z.seed)
	if g.equalWeights {
		return float64(h >> 11)
	}
	return score(h, z.weight)
}

// rankZones appends to dst, which must be empty, the indices into g.zones of
// the maxZones highest-scored zones, highest first.
func (g *generation) rankZones(hash uint64, dst []int) []int {
	var scores [maxZones]float64
	for i := range g.zones {
		z := &g.zones[i]
		s := g.zoneScore(z, hash)
		dst = insertSorted(dst, scores[:], i, s)
	}
	return dst
}

// insertSorted adds zone i with score s to dst, which is sorted by descending
// score. scores holds the score of each element of dst. If dst would become
// longer than scores, the last element is dropped.
func insertSorted(dst []int, scores []float64, i int, s float64) []int {
	at := len(dst)
	for at > 0 && scores[at-1] < s {
		at--
	}
	if at >= len(scores) {
		return dst
	}
	if len(dst) < len(scores) {
		dst = append(dst, 0)
	}
	copy(dst[at+1:], dst[at:])
	copy(scores[at+1:], scores[at:len(scores)-1])
	dst[at] = i
	scores[at] = s
	return dst
}

// rankTargets appends the generation's ranking for a flow to dst: the
// highest-scored target of each zone, in the order of the zones, then the
// second-highest of the first zone. If there are several zones, consecutive
// targets are thus in different zones.
func (g *generation) rankTargets(hash uint64, dst []int) []int {
	var buf [maxZones]int
	zones := g.rankZones(hash, buf[:0])
	for _, z := range zones {
		dst = appendUnique(dst, g.zones[z].top(hash, -1))
	}
	if len(zones) > 0 {
		first := &g.zones[zones[0]]
		if second := first.top(hash, first.top(hash, -1)); second >= 0 {
			dst = appendUnique(dst, second)
		}
	}
	return dst
}

// rankAll appends all members to dst, highest score first.
func (g *generation) rankAll(hash uint64, dst []int) []int {
	type scored struct {
		target int
		score  float64
	}
	var all []scored
	for i := range g.zones {
		for j := range g.zones[i].members {
			m := &g.zones[i].members[j]
			all = append(all, scored{m.target, score(mix(hash, m.seed), m.weight)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.target, b.target))
	})
	for _, s := range all {
		dst = appendUnique(dst, s.target)
	}
	return dst
}

// topTargets appends the first n targets of the generation's ranking to dst.
func (g *generation) topTargets(hash uint64, n int, dst []int) []int {
	var buf [MaxCandidates]int
	ranked := g.rankTargets(hash, buf[:0])
	for _, t := range ranked[:min(n, len(ranked))] {
		dst = appendUnique(dst, t)
	}
	return dst
}

// appendUnique appends target to dst unless dst already contains it or holds
// MaxCandidates targets.
func appendUnique(dst []int, target int) []int {
	for _, t := range dst {
		if t == target {
			return dst
		}
	}
	if len(dst) == MaxCandidates {
		return dst
	}
	return append(dst, target)
}

// newGeneration groups the members of a generation by zone. It leaves out
// targets that the manifest no longer lists.
func newGeneration(v *View, from *hsmanifest.Generation) generation {
	g := generation{zones: make([]zoneGroup, 0, len(v.Zones)), assumed: from.Assumed()}
	zoneIndex := make(map[int]int, len(v.Zones))
	for _, m := range from.Targets {
		t, ok := v.byID[m.ID]
		if !ok {
			continue
		}
		zone := v.Targets[t].Zone
		i, ok := zoneIndex[zone]
		if !ok {
			i = len(g.zones)
			zoneIndex[zone] = i
			g.zones = append(g.zones, zoneGroup{zone: zone, seed: hashName(v.Zones[zone])})
		}
		g.zones[i].members = append(g.zones[i].members, member{target: t, seed: mix(uint64(m.ID), 0), weight: m.Weight})
		g.zones[i].weight += m.Weight
	}
	g.setEqualWeights()
	return g
}

// setEqualWeights determines whether the zones, and the members of each zone,
// have equal weights.
func (g *generation) setEqualWeights() {
	g.equalWeights = true
	for i := range g.zones {
		z := &g.zones[i]
		g.equalWeights = g.equalWeights && z.weight == g.zones[0].weight
		z.equalWeights = true
		for j := range z.members {
			z.equalWeights = z.equalWeights && z.members[j].weight == z.members[0].weight
		}
	}
}
