// Package hsbudget divides the rate of new flows that a target takes during its
// warm-up time among entry hosts, without messages between them for each flow.
//
// Time is divided into slots, by the time of day. Each slot of each target
// belongs to one host, chosen by rendezvous hashing over the members (Thaler,
// Ravishankar, 1998), which may place a few flows in it. The sum over all hosts
// is therefore bounded by the number of slots, whatever the number of hosts, and
// a host whose share is below one flow a second still places whole flows. Hosts
// that disagree about the members or the time choose different owners; each of
// them still owns the same part of all slots, so that the mean is kept and only
// the deviation from it grows.
//
// The package does no I/O and reads no clock.
package hsbudget

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Share is the part of all targets' slots that one host owns. It is not safe
	// for concurrent use.
	Share struct {
		// Hash of this host's name.
		self uint64
		// Hashes of the other members' names.
		others []uint64
		// Number of members that share the slots; at least len(others)+1. Above
		// that, the host gives up owned slots in proportion, since hosts that it
		// does not know own some of them.
		count int
		// Increases with each change, which invalidates what an Allowance has
		// computed.
		generation uint64
	}

	// Allowance is what one host may place on one target. Times given to it select
	// the slot by their time of day, which may go backwards, repeat, jump or differ
	// from that of other hosts; the host then uses the slots of another time. What
	// it places is limited by tokens besides, which follow the monotonic reading of
	// the times if there is one, so that a clock that goes back again and again
	// does not use slots anew.
	Allowance struct {
		target uint64
		rate   float64
		// Length of a slot in nanoseconds, and flows that its owner may place in
		// it; at least 1.
		slotLength int64
		slotFlows  int
		// Ownership of the slots from first on: bit i of known is set once bit i
		// of owned is valid. Both are of the given generation of the Share.
		first      int64
		known      uint64
		owned      uint64
		generation uint64
		// Last slot in which a flow was placed, and number of flows in it.
		usedSlot  int64
		usedFlows int
		// Flows that may be placed whatever the slot, and time up to which they
		// were added. With a clock that only goes forward they never bind.
		tokens      float64
		tokensSince time.Time
	}
)

const (
	// minSlotLength is the shortest slot. The more slots a second has, the less
	// the number of flows in a second deviates from its mean when hosts disagree;
	// each costs one hash for each member. In the exploration, slots of 250 ms
	// exceeded the bound at 50 flows a second, with those of 20 ms none did.
	minSlotLength = 20 * time.Millisecond
	// minRate and maxRate limit the rate, so that the length of a slot and the
	// number of flows in it stay within the range of their types.
	minRate = 1e-3
	maxRate = 1e6
	// cachedSlots is the number of slots whose ownership is cached: the bits of a
	// word.
	cachedSlots = 64
	// tokenSlots is the number of slots whose flows can be placed in a moment: the
	// end of one and the beginning of the next.
	tokenSlots = 2
)

// NewShare returns the share of a host that does not know yet how many members
// there are.
func NewShare(self string) *Share {
	return &Share{self: xxhash.Sum64String(self), count: unsettledCount}
}

// Set replaces the members. names may contain this host. Counts below the number
// of names, also negative ones, have no effect, and those above MaxCount count as
// MaxCount.
func (s *Share) Set(names []string, count int) {
	s.others = s.others[:0]
	for _, name := range names {
		if h := xxhash.Sum64String(name); h != s.self {
			s.others = append(s.others, h)
		}
	}
	s.count = max(min(count, MaxCount), len(s.others)+1)
	s.generation++
}

// Count returns the number of members that share the slots.
func (s *Share) Count() int { return s.count }

// owns reports whether this host owns a slot of a target.
func (s *Share) owns(target uint64, slot int64) bool {
	key := mix(target ^ mix(uint64(slot)))
	own := mix(s.self ^ key)
	for _, other := range s.others {
		if mix(other^key) > own {
			return false
		}
	}
	unknown := s.count - len(s.others) - 1
	if unknown <= 0 {
		return true
	}
	// The probability that none of the unknown members has a higher score, which
	// is uniform. Over all slots the host uses one in count, and of several hosts
	// that each believe to be the owner, the one that would be if all knew all
	// members is the most likely to use the slot.
	return unit(mix(own)) < math.Pow(unit(own), float64(unknown))
}

// unit maps a hash to a number from 0 to 1.
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// NewAllowance returns the allowance for a target that takes the given number of
// new flows a second from all hosts together, or nil if the rate is not positive:
// the target is then not limited.
func NewAllowance(target uint64, rate float64) *Allowance {
	if !(rate > 0) {
		return nil
	}
	rate = min(max(rate, minRate), maxRate)
	flows := max(int(math.Ceil(rate*minSlotLength.Seconds()-1e-9)), 1)
	return &Allowance{
		target:     target,
		rate:       rate,
		slotLength: int64(float64(flows) / rate * float64(time.Second)),
		slotFlows:  flows,
		tokens:     float64(tokenSlots * flows),
	}
}

// Rate returns the flows a second that the target takes from all hosts together.
func (a *Allowance) Rate() float64 { return a.rate }

// Allows reports whether the host may place a flow on the target now.
func (a *Allowance) Allows(now time.Time, s *Share) bool {
	slot := a.slotAt(now)
	return a.left(slot) > 0 && a.owns(s, slot) && a.refilled(now) >= 1
}

// Use records that the host has placed a flow on the target, which Allows
// permitted.
func (a *Allowance) Use(now time.Time) {
	slot := a.slotAt(now)
	if slot != a.usedSlot {
		a.usedSlot, a.usedFlows = slot, 0
	}
	a.usedFlows++
	a.tokens = max(a.refilled(now)-1, 0)
	a.tokensSince = now
}

// Upcoming returns the number of flows that the host may place on the target from
// now until the given time, at most those of cachedSlots slots.
func (a *Allowance) Upcoming(now, until time.Time, s *Share) int {
	if until.Before(now) {
		return 0
	}
	n := 0
	slot := a.slotAt(now)
	for last := min(a.slotAt(until), slot+cachedSlots-1); slot <= last; slot++ {
		if left := a.left(slot); left > 0 && a.owns(s, slot) {
			n += left
		}
	}
	return n
}

// left returns the number of flows that the owner of a slot may still place in
// it.
func (a *Allowance) left(slot int64) int {
	if slot == a.usedSlot {
		return a.slotFlows - a.usedFlows
	}
	return a.slotFlows
}

// refilled returns the tokens at a time. If the clock went back, none is added
// for the time before, and further ones from the new time on.
func (a *Allowance) refilled(now time.Time) float64 {
	elapsed := now.Sub(a.tokensSince)
	if elapsed < 0 {
		a.tokensSince = now
	}
	return min(a.tokens+max(elapsed.Seconds(), 0)*a.rate+1e-6, float64(tokenSlots*a.slotFlows))
}

// slotAt returns the slot of a time, rounded down also before 1970.
func (a *Allowance) slotAt(t time.Time) int64 {
	n := t.UnixNano()
	slot := n / a.slotLength
	if n%a.slotLength < 0 {
		slot--
	}
	return slot
}

// owns reports whether the host owns a slot, from the cache if possible.
func (a *Allowance) owns(s *Share, slot int64) bool {
	offset := slot - a.first
	if a.generation != s.generation || offset < 0 || offset >= 2*cachedSlots {
		a.first, a.known, a.owned, a.generation = slot, 0, 0, s.generation
		offset = 0
	}
	if offset >= cachedSlots {
		// Keeps the slots that lie ahead of the time at which the host now is.
		shift := offset - cachedSlots + 1
		a.first += shift
		a.known >>= uint(shift)
		a.owned >>= uint(shift)
		offset = cachedSlots - 1
	}
	bit := uint64(1) << uint(offset)
	if a.known&bit == 0 {
		a.known |= bit
		a.owned &^= bit
		if s.owns(a.target, slot) {
			a.owned |= bit
		}
	}
	return a.owned&bit != 0
}
