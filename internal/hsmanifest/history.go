package hsmanifest

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Member is a target that takes new flows, with its share.
	Member struct {
		ID     TargetID
		Weight uint32
	}

	// Generation is the set of targets of one service that took new flows from
	// Version on.
	Generation struct {
		Version uint64
		// Sorted by ID. Never empty.
		Members []Member
	}

	// History holds the generations of each service by name, newest first. It
	// is immutable; Extend returns a new one.
	History map[string][]Generation
)

// maxGenerations bounds the history of one service.
const maxGenerations = 24

// Extend returns the history after m came into force. A generation is added
// for each service whose set of live targets changed; targets that m no longer
// lists disappear from all generations.
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

// Digest returns a hash by which hosts compare their histories.
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
			for _, m := range g.Members {
				put(uint64(m.ID))
				put(uint64(m.Weight))
			}
		}
	}
	return d.Sum64()
}

// Merge returns the history that holds the generations of h and other, as a
// host needs that starts in the middle of a change.
func (h History) Merge(other History) History {
	next := make(History, len(h))
	for name, gens := range h {
		next[name] = mergeGenerations(gens, other[name])
	}
	return next
}

func extendGenerations(old []Generation, m *Manifest, s *Service, listed map[TargetID]bool) []Generation {
	gens := make([]Generation, 0, len(old)+1)
	if live := selectMembers(m, s, func(t *Target) bool { return t.State == Live }); len(live) > 0 {
		gens = append(gens, Generation{Version: m.Version, Members: live})
	}
	for _, g := range old {
		if !g.Guessed() {
			gens = appendDistinct(gens, g.Version, keepListed(g.Members, listed))
		}
	}
	return appendGuess(truncate(gens), m, s)
}

func truncate(gens []Generation) []Generation {
	return gens[:min(len(gens), maxGenerations)]
}

// appendGuess appends what is known about a time before the oldest generation,
// which a host that started later has not seen: any listed target may have
// taken flows. It has version 0, and ranking goes through all of its members.
func appendGuess(gens []Generation, m *Manifest, s *Service) []Generation {
	all := selectMembers(m, s, func(*Target) bool { return true })
	if len(all) == 0 {
		return gens
	}
	return append(gens, Generation{Members: all})
}

// Guessed reports whether the generation stands for an unknown past.
func (g *Generation) Guessed() bool {
	return g.Version == 0
}

// appendDistinct appends a generation unless it has no members or those of the
// one before it. If it has the same members, the older version is kept, since
// the set took flows from then on.
func appendDistinct(gens []Generation, version uint64, members []Member) []Generation {
	if len(members) == 0 {
		return gens
	}
	if last := len(gens) - 1; last >= 0 && slices.Equal(gens[last].Members, members) {
		gens[last].Version = version
		return gens
	}
	return append(gens, Generation{Version: version, Members: members})
}

func mergeGenerations(a, b []Generation) []Generation {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Generation) int { return cmp.Compare(y.Version, x.Version) })
	gens := make([]Generation, 0, len(all))
	for _, g := range all {
		if !g.Guessed() {
			gens = appendDistinct(gens, g.Version, g.Members)
		}
	}
	gens = truncate(gens)
	if last := len(a) - 1; last >= 0 && a[last].Guessed() {
		gens = append(gens, a[last])
	}
	return gens
}

func selectMembers(m *Manifest, s *Service, include func(*Target) bool) []Member {
	var out []Member
	for _, n := range s.Targets {
		if t := &m.Targets[n]; include(t) {
			out = append(out, Member{ID: t.ID, Weight: t.Weight})
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func keepListed(members []Member, listed map[TargetID]bool) []Member {
	var out []Member
	for _, m := range members {
		if listed[m.ID] {
			out = append(out, m)
		}
	}
	return out
}
