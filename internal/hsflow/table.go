package hsflow

type (
	// Table is a hash table from flow keys to values. It allocates memory only
	// when it grows, does not move values in memory, and can be iterated over
	// in steps of a few entries. It is not safe for concurrent use.
	//
	// A lookup goes through an index with open addressing and linear probing.
	// Each word of the index holds the upper half of the key's hash and the
	// number of the entry, so most mismatches are detected without reading the
	// entry.
	Table[V any] struct {
		// Length is a power of two, at least 4/3 of count. The word of a free
		// slot is zero. Otherwise its upper 32 bits are those of the key's
		// hash, and its lower 32 bits are the entry number plus 1.
		index []uint64
		// Each page holds pageSize entries; entry n is in page n/pageSize.
		pages [][]entry[V]
		// Numbers of the entries below top that are not in use.
		free []uint32
		// Number of entries that have ever been in use.
		top uint32
		// Number of entries in use.
		count int
	}

	entry[V any] struct {
		key Key
		// False if the entry is free.
		used bool
		val  V
	}
)

const (
	// pageSize is the number of entries per page.
	pageSize = 1024
	// initialIndexLen is the length of the index of an empty table.
	initialIndexLen = 1024
	// maxLoadNum divided by maxLoadDenom is the maximum load factor of the
	// index.
	maxLoadNum   = 3
	maxLoadDenom = 4
)

// NewTable returns an empty table.
func NewTable[V any]() *Table[V] {
	return &Table[V]{index: make([]uint64, initialIndexLen)}
}

// Len returns the number of entries.
func (t *Table[V]) Len() int {
	return t.count
}

// Get returns the value of k, or nil if there is none. hash is k.Hash(). The
// pointer is valid until the entry is removed.
func (t *Table[V]) Get(k *Key, hash uint64) *V {
	slot, ok := t.find(k, hash)
	if !ok {
		return nil
	}
	return &t.entryAt(t.index[slot]).val
}

// GetOrCreate returns the value of k and adds a zero value first if there is
// none. hash is k.Hash(). The pointer is valid until the entry is removed.
func (t *Table[V]) GetOrCreate(k *Key, hash uint64) *V {
	slot, ok := t.find(k, hash)
	if ok {
		return &t.entryAt(t.index[slot]).val
	}
	if (t.count+1)*maxLoadDenom > len(t.index)*maxLoadNum {
		t.grow()
		slot, _ = t.find(k, hash)
	}
	n := t.allocEntry()
	e := &t.pages[n/pageSize][n%pageSize]
	e.key = *k
	e.used = true
	t.index[slot] = indexWord(hash, n)
	t.count++
	return &e.val
}

// Remove removes the entry of k and reports whether there was one. hash is
// k.Hash().
func (t *Table[V]) Remove(k *Key, hash uint64) bool {
	slot, ok := t.find(k, hash)
	if !ok {
		return false
	}
	n := uint32(t.index[slot]) - 1
	t.pages[n/pageSize][n%pageSize] = entry[V]{}
	t.free = append(t.free, n)
	t.count--
	t.removeSlot(slot)
	return true
}

// Scan visits the next n entries from cursor on, used or free, and calls f for
// the used ones. It returns the cursor for the next call, which is 0 when the
// end of the table was reached. f may remove the entry that it is called for.
func (t *Table[V]) Scan(cursor, n int, f func(k *Key, v *V)) int {
	for ; n > 0 && cursor < int(t.top); n-- {
		e := &t.pages[cursor/pageSize][cursor%pageSize]
		cursor++
		if e.used {
			f(&e.key, &e.val)
		}
	}
	if cursor >= int(t.top) {
		return 0
	}
	return cursor
}

// find returns the slot of the index that refers to the entry of k and true, or
// the free slot where such an entry belongs and false.
func (t *Table[V]) find(k *Key, hash uint64) (slot int, ok bool) {
	mask := len(t.index) - 1
	for slot = int(hash) & mask; ; slot = (slot + 1) & mask {
		w := t.index[slot]
		if w == 0 {
			return slot, false
		}
		if w>>32 == hash>>32 && t.entryAt(w).key == *k {
			return slot, true
		}
	}
}

// entryAt returns the entry that the index word w refers to.
func (t *Table[V]) entryAt(w uint64) *entry[V] {
	n := uint32(w) - 1
	return &t.pages[n/pageSize][n%pageSize]
}

// allocEntry returns the number of a free entry, adding a page if there is
// none.
func (t *Table[V]) allocEntry() uint32 {
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

// grow doubles the length of the index.
func (t *Table[V]) grow() {
	old := t.index
	t.index = make([]uint64, 2*len(old))
	mask := len(t.index) - 1
	for _, w := range old {
		if w == 0 {
			continue
		}
		slot := int(t.entryAt(w).key.Hash()) & mask
		for t.index[slot] != 0 {
			slot = (slot + 1) & mask
		}
		t.index[slot] = w
	}
}

// removeSlot frees slot gap by backward-shift deletion: it moves later words of
// the probe sequence back, so that a lookup does not end at the freed slot.
// Example with mask 7: slots 2 and 3 refer to keys that both hash to slot 2. If
// slot 2 is freed, the word of slot 3 moves to slot 2.
func (t *Table[V]) removeSlot(gap int) {
	mask := len(t.index) - 1
	for next := (gap + 1) & mask; t.index[next] != 0; next = (next + 1) & mask {
		first := int(t.entryAt(t.index[next]).key.Hash()) & mask
		if (next-first)&mask < (next-gap)&mask {
			continue
		}
		t.index[gap] = t.index[next]
		gap = next
	}
	t.index[gap] = 0
}

// indexWord returns the word of the index for a key's hash and the number of
// its entry.
func indexWord(hash uint64, n uint32) uint64 {
	return hash>>32<<32 | uint64(n+1)
}
