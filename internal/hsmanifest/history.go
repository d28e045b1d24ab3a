package hsmanifest

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// WeightedTarget is a target in a generation. Weight is its relative share
	// of the service's new flows.
	WeightedTarget struct {
		ID     TargetID
		Weight uint32
	}

	// Generation is the set of targets to which new flows of one service were
	// assigned, starting with one manifest version.
	Generation struct {
		// Manifest version, or 0 for an assumed generation; see Assumed.
		Version uint64
		// Sorted by ID. Never empty.
		Targets []WeightedTarget
	}

	// History maps the name of each service to its generations, newest first.
	// It is immutable; Extend and Merge return a new one.
	History map[string][]Generation
)

// maxGenerations is the maximum number of generations of one service, without
// the assumed one.
const maxGenerations = 24

// Extend returns the history after m becomes the current manifest. It adds a
// generation to each service whose live targets or their weights changed, and
// removes targets that m no longer lists from all generations.
func (h History) Extend(m *Manifest) History {
	listed := make(map[TargetID]bool, len(m.Targets))
	for i := range m.Targets {
		listed[m.Targets[i].ID] = true
	}
	next := make(History, len(m.Services))
	for i := range m.Services {
		s := &m.Services[i]
		next[s.Name] = extendGenerations(h[s.Name], m, s, listed)
	}
	return next
}

// Digest returns a hash of h; hosts compare their histories by it.
func (h History) Digest() uint64 {
	d := xxhash.New()
	var buf [8]byte
	put := func(n uint64) {
		binary.BigEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:])
	}
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = d.WriteString(name)
		for _, g := range h[name] {
			put(g.Version)
			for _, t := range g.Targets {
				put(uint64(t.ID))
				put(uint64(t.Weight))
			}
		}
	}
	return d.Sum64()
}

// Merge returns a history that has, for each service in h, the generations of
// both h and other. A host that starts after a change of targets merges a
// peer's history to learn which targets took new flows before the change.
func (h History) Merge(other History) History {
	next := make(History, len(h))
	for name, gens := range h {
		next[name] = mergeGenerations(gens, other[name])
	}
	return next
}

// extendGenerations returns the generations of service s after m becomes the
// current manifest.
func extendGenerations(old []Generation, m *Manifest, s *Service, listed map[TargetID]bool) []Generation {
	gens := make([]Generation, 0, len(old)+1)
	if live := selectTargets(m, s, func(t *Target) bool { return t.State == Live }); len(live) > 0 {
		gens = append(gens, Generation{Version: m.Version, Targets: live})
	}
	for _, g := range old {
		if !g.Assumed() {
			gens = appendDistinct(gens, g.Version, keepListed(g.Targets, listed))
		}
	}
	return appendAssumed(truncate(gens), m, s)
}

func truncate(gens []Generation) []Generation {
	return gens[:min(len(gens), maxGenerations)]
}

// appendAssumed appends the assumed generation. It stands for the time before
// the oldest recorded generation: any target that the manifest lists for the
// service may have taken flows then. Its version is 0, and ranking considers
// all its targets.
func appendAssumed(gens []Generation, m *Manifest, s *Service) []Generation {
	all := selectTargets(m, s, func(*Target) bool { return true })
	if len(all) == 0 {
		return gens
	}
	return append(gens, Generation{Targets: all})
}

// Assumed reports whether the generation is assumed rather than recorded: it
// stands for the time before the oldest recorded generation and holds all
// targets that may have taken flows then.
func (g *Generation) Assumed() bool {
	return g.Version == 0
}

// appendDistinct appends an older generation to gens. It appends nothing if the
// generation has no targets. If its targets equal those of the last generation
// in gens, it only lowers that generation's version, since the same targets
// took new flows from the older version on.
func appendDistinct(gens []Generation, version uint64, targets []WeightedTarget) []Generation {
	if len(targets) == 0 {
		return gens
	}
	if last := len(gens) - 1; last >= 0 && slices.Equal(gens[last].Targets, targets) {
		gens[last].Version = version
		return gens
	}
	return append(gens, Generation{Version: version, Targets: targets})
}

func mergeGenerations(a, b []Generation) []Generation {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Generation) int { return cmp.Compare(y.Version, x.Version) })
	gens := make([]Generation, 0, len(all))
	for _, g := range all {
		if !g.Assumed() {
			gens = appendDistinct(gens, g.Version, g.Targets)
		}
	}
	gens = truncate(gens)
	if last := len(a) - 1; last >= 0 && a[last].Assumed() {
		gens = append(gens, a[last])
	}
	return gens
}

// selectTargets returns the targets of s for which include returns true, sorted
// by ID.
func selectTargets(m *Manifest, s *Service, include func(*Target) bool) []WeightedTarget {
	var out []WeightedTarget
	for _, n := range s.Targets {
		if t := &m.Targets[n]; include(t) {
			out = append(out, WeightedTarget{ID: t.ID, Weight: t.Weight})
		}
	}
	slices.SortFunc(out, func(a, b WeightedTarget) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func keepListed(targets []WeightedTarget, listed map[TargetID]bool) []WeightedTarget {
	var out []WeightedTarget
	for _, t := range targets {
		if listed[t.ID] {
			out = append(out, t)
		}
	}
	return out
}
