package hsfeed

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

type (
	// entryMap holds a value for each entry of a target in the store. Entries of
	// different names may have the same target ID: a program other than the target
	// may have written one of them. What happens to one entry has no effect on the
	// others.
	//
	// Hosts of the previous release send entries without names. Such an entry is
	// taken for the first one of its ID, whatever its name.
	entryMap[V any] struct {
		// Never empty, and sorted by compareNames; nearly always of length 1.
		byID map[TargetID][]namedValue[V]
		// Number of entries.
		count int
	}

	namedValue[V any] struct {
		// Empty if unknown.
		name  string
		value V
	}
)

// compareNames orders the names of entries: shorter ones first.
func compareNames(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }

// find returns the index of an entry among those of its ID, or -1.
func (m *entryMap[V]) find(id TargetID, name string) int {
	values := m.byID[id]
	if len(values) == 0 {
		return -1
	}
	if i := slices.IndexFunc(values, func(v namedValue[V]) bool { return v.name == name }); i >= 0 {
		return i
	}
	// An empty name comes first.
	if name == "" || values[0].name == "" {
		return 0
	}
	return -1
}

// get returns the value of an entry, and false if there is none.
func (m *entryMap[V]) get(id TargetID, name string) (V, bool) {
	i := m.find(id, name)
	if i < 0 {
		var zero V
		return zero, false
	}
	return m.byID[id][i].value, true
}

// name returns the name under which an entry is known, or the given one.
func (m *entryMap[V]) name(id TargetID, name string) string {
	if i := m.find(id, name); i >= 0 {
		return cmp.Or(name, m.byID[id][i].name)
	}
	return name
}

// set sets the value of an entry, and its name if it was unknown.
func (m *entryMap[V]) set(id TargetID, name string, value V) {
	if m.byID == nil {
		m.byID = map[TargetID][]namedValue[V]{}
	}
	entry := namedValue[V]{m.name(id, name), value}
	if i := m.find(id, name); i >= 0 {
		m.byID[id][i] = entry
	} else {
		m.byID[id] = append(m.byID[id], entry)
		m.count++
	}
	slices.SortFunc(m.byID[id], func(a, b namedValue[V]) int { return compareNames(a.name, b.name) })
}

func (m *entryMap[V]) remove(id TargetID, name string) {
	i := m.find(id, name)
	if i < 0 {
		return
	}
	m.count--
	if len(m.byID[id]) == 1 {
		delete(m.byID, id)
		return
	}
	// A copy, so that entries can be removed while all iterates over them.
	m.byID[id] = slices.Concat(m.byID[id][:i], m.byID[id][i+1:])
}

// removeFunc removes the entries for which del returns true.
func (m *entryMap[V]) removeFunc(del func(id TargetID, name string, value V) bool) {
	for id, values := range m.byID {
		kept := slices.DeleteFunc(values, func(v namedValue[V]) bool { return del(id, v.name, v.value) })
		m.count -= len(values) - len(kept)
		if len(kept) == 0 {
			delete(m.byID, id)
		} else {
			m.byID[id] = kept
		}
	}
}

// ids returns the IDs in ascending order.
func (m *entryMap[V]) ids() []TargetID { return slices.Sorted(maps.Keys(m.byID)) }

// all returns all entries in ascending order of IDs, those of one ID in the order
// of their names.
func (m *entryMap[V]) all() iter.Seq2[TargetID, namedValue[V]] {
	return func(yield func(TargetID, namedValue[V]) bool) {
		for _, id := range m.ids() {
			for _, v := range m.byID[id] {
				if !yield(id, v) {
					return
				}
			}
		}
	}
}
