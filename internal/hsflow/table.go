package hsflow

type (
	// Table maps flow keys to values. It allocates only when it grows, keeps
	// each value at a fixed place while it is held, and is walked a few
	// entries at a time. It is not safe for concurrent use.
	//
	// Lookup goes through an open-addressed index whose words hold the upper
	// half of the hash and the entry's number, so most mismatches are seen
	// without touching the entry.
	Table[V any] struct {
		// Length is a power of two, at least 4/3 of used. A word is zero if
		// free, else hash's upper 32 bits followed by entry number + 1.
		index []uint64
		// All pages are full-length; entry n stands in page n/pageSize.
		pages [][]entry[V]
		// Numbers of free entries below top.
		free []uint32
		// Entries numbered top and above were never used.
		top uint32
		// Number of held entries.
		used int
	}

	entry[V any] struct {
		key  Key
		held bool
		val  V
	}
)

const (
	pageSize     = 1024
	minIndex     = 1024
	maxLoadNum   = 3
	maxLoadDenom = 4
)

// NewTable returns an empty table.
func NewTable[V any]() *Table[V] {
	return &Table[V]{index: make([]uint64, minIndex)}
}

// Len returns the number of held entries.
func (t *Table[V]) Len() int {
	return t.used
}

// Get returns the value of k, or nil. The pointer stays valid until the entry
// is removed.
func (t *Table[V]) Get(k *Key, hash uint64) *V {
	slot, ok := t.find(k, hash)
	if !ok {
		return nil
	}
	return &t.at(t.index[slot]).val
}

// Put returns the value of k, adding a zero value if there is none.
func (t *Table[V]) Put(k *Key, hash uint64) *V {
	slot, ok := t.find(k, hash)
	if ok {
		return &t.at(t.index[slot]).val
	}
	if (t.used+1)*maxLoadDenom > len(t.index)*maxLoadNum {
		t.grow()
		slot, _ = t.find(k, hash)
	}
	n := t.take()
	e := &t.pages[n/pageSize][n%pageSize]
	e.key = *k
	e.held = true
	t.index[slot] = word(hash, n)
	t.used++
	return &e.val
}

// Remove forgets k and reports whether it was held.
func (t *Table[V]) Remove(k *Key, hash uint64) bool {
	slot, ok := t.find(k, hash)
	if !ok {
		return false
	}
	n := uint32(t.index[slot]) - 1
	t.pages[n/pageSize][n%pageSize] = entry[V]{}
	t.free = append(t.free, n)
	t.used--
	t.closeGap(slot)
	return true
}

// Walk calls f for up to n entries from cursor on and returns the cursor to go
// on from; it is zero after the last entry. f may remove the entry that it is
// called for.
func (t *Table[V]) Walk(cursor, n int, f func(k *Key, v *V)) int {
	for ; n > 0 && cursor < int(t.top); n-- {
		e := &t.pages[cursor/pageSize][cursor%pageSize]
		cursor++
		if e.held {
			f(&e.key, &e.val)
		}
	}
	if cursor >= int(t.top) {
		return 0
	}
	return cursor
}

func (t *Table[V]) find(k *Key, hash uint64) (slot int, ok bool) {
	mask := len(t.index) - 1
	for slot = int(hash) & mask; ; slot = (slot + 1) & mask {
		w := t.index[slot]
		if w == 0 {
			return slot, false
		}
		if w>>32 == hash>>32 && t.at(w).key == *k {
			return slot, true
		}
	}
}

func (t *Table[V]) at(w uint64) *entry[V] {
	n := uint32(w) - 1
	return &t.pages[n/pageSize][n%pageSize]
}

func (t *Table[V]) take() uint32 {
	if last := len(t.free) - 1; last >= 0 {
		n := t.free[last]
		t.free = t.free[:last]
		return n
	}
	n := t.top
	if int(n) == len(t.pages)*pageSize {
		t.pages = append(t.pages, make([]entry[V], pageSize))
	}
	t.top++
	return n
}

func (t *Table[V]) grow() {
	old := t.index
	t.index = make([]uint64, 2*len(old))
	mask := len(t.index) - 1
	for _, w := range old {
		if w == 0 {
			continue
		}
		slot := int(t.at(w).key.Hash()) & mask
		for t.index[slot] != 0 {
			slot = (slot + 1) & mask
		}
		t.index[slot] = w
	}
}

// closeGap moves later entries of the probe sequence back, so that no search
// stops at the freed slot. Example with mask 7: slots 2 and 3 hold entries
// that both hash to 2; freeing slot 2 moves the entry in slot 3 there.
func (t *Table[V]) closeGap(gap int) {
	mask := len(t.index) - 1
	for next := (gap + 1) & mask; t.index[next] != 0; next = (next + 1) & mask {
		ideal := int(t.at(t.index[next]).key.Hash()) & mask
		if (next-ideal)&mask < (next-gap)&mask {
			continue
		}
		t.index[gap] = t.index[next]
		gap = next
	}
	t.index[gap] = 0
}

func word(hash uint64, n uint32) uint64 {
	return hash>>32<<32 | uint64(n+1)
}
