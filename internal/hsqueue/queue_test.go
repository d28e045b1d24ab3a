package hsqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func ms(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

// item returns an item whose packet was first sent at the given millisecond. It
// can meet its objective for 150 ms, and its caller abandons the attempt after
// 1,350 ms.
func item(sent, priority int, name string) Item[string] {
	return Item[string]{FirstSent: ms(sent), Deadline: ms(sent + 150), AbandonAt: ms(sent + 1350), Priority: priority, Value: name}
}

func drain(q *Queue[string], now time.Time) []string {
	var out []string
	for it := q.Next(now, func(*Item[string]) bool { return true }); it != nil; {
		out = append(out, it.Value)
		q.Remove(it)
		it = q.Next(now, func(*Item[string]) bool { return true })
	}
	return out
}

// TestOrder checks the order of release: items that can meet their objective
// before late ones, then by priority, then the newest first if they can meet
// their objective and the oldest first if they are late.
func TestOrder(t *testing.T) {
	q := New[string](Config{MaxItems: 10})
	for _, it := range []Item[string]{
		item(0, 2, "late-old"), item(100, 2, "late-new"), item(50, 1, "late-urgent"),
		item(300, 2, "newest"), item(250, 2, "second-newest"), item(200, 1, "urgent"),
	} {
		q.Push(it)
	}
	assert.DeepEqual(t, drain(q, ms(300)), []string{"urgent", "newest", "second-newest", "late-urgent", "late-old", "late-new"})
}

// TestExcess checks that the item that would be released last is removed if
// there are more items than allowed.
func TestExcess(t *testing.T) {
	q := New[string](Config{MaxItems: 2})
	q.Push(item(0, 2, "a"))
	q.Push(item(300, 2, "b"))
	_, dropped := q.RemoveExcess(ms(300))
	assert.Assert(t, !dropped)
	q.Push(item(299, 1, "c"))
	out, dropped := q.RemoveExcess(ms(300))
	assert.Assert(t, dropped)
	assert.Equal(t, out.Value, "a")
	q.Push(item(-600, 2, "d"))
	out, dropped = q.RemoveExcess(ms(301))
	assert.Assert(t, dropped)
	assert.Equal(t, out.Value, "d")
}

// TestRate checks that the queue keeps no more items than can be released
// before their callers abandon the attempt.
func TestRate(t *testing.T) {
	q := New[string](Config{MaxItems: 1000})
	for n := range 300 {
		q.Push(item(n, 2, ""))
	}
	q.SetReleaseRate(100, time.Second)
	for _, ok := q.RemoveExcess(ms(300)); ok; _, ok = q.RemoveExcess(ms(300)) {
	}
	assert.Equal(t, q.Len(), 100)
	q.SetReleaseRate(0, time.Second)
	for _, ok := q.RemoveExcess(ms(300)); ok; _, ok = q.RemoveExcess(ms(300)) {
	}
	assert.Equal(t, q.Len(), minLimit)
}

// TestExpire checks that items whose callers have abandoned the attempt are
// removed.
func TestExpire(t *testing.T) {
	q := New[string](Config{MaxItems: 3})
	q.Push(item(0, 2, "a"))
	q.Push(item(100, 2, "b"))
	it, ok := q.RemoveExpired(ms(1350))
	assert.Assert(t, ok)
	assert.Equal(t, it.Value, "a")
	_, ok = q.RemoveExpired(ms(1350))
	assert.Assert(t, !ok)
}

// burst simulates flows that arrive for two seconds at 1.5 times the rate that
// the slots can serve, and returns the fraction of them that are answered
// within 250 ms. Flows that find no free slot wait in q, or in order of arrival
// if q is nil.
func burst(q *Queue[string]) float64 {
	const (
		slots                  = 40
		serviceTimeMS          = 60
		arrivalsPerServiceTime = slots * 3 / 2
		durationMS             = 2000
	)
	var (
		freeSlots = slots
		endsAt    = map[int]int{}
		fifo      []Item[string]
		total     int
		inTime    int
	)
	next := func(now int) *Item[string] {
		if q != nil {
			it := q.Next(ms(now), func(*Item[string]) bool { return true })
			if it == nil {
				return nil
			}
			out := *it
			q.Remove(it)
			return &out
		}
		if len(fifo) == 0 {
			return nil
		}
		out := fifo[0]
		fifo = fifo[1:]
		return &out
	}
	for now := range durationMS + 1500 {
		freeSlots += endsAt[now]
		for n := arrivalsPerServiceTime*(now+1)/serviceTimeMS - arrivalsPerServiceTime*now/serviceTimeMS; n > 0 && now < durationMS; n-- {
			total++
			if q == nil {
				fifo = append(fifo, item(now, 2, ""))
			} else {
				q.Push(item(now, 2, ""))
			}
		}
		for freeSlots > 0 {
			it := next(now)
			if it == nil {
				break
			}
			if ms(now).Before(it.AbandonAt) {
				freeSlots--
				endsAt[now+serviceTimeMS]++
				if !ms(now + serviceTimeMS).After(it.FirstSent.Add(250 * time.Millisecond)) {
					inTime++
				}
			}
		}
	}
	return float64(inTime) / float64(total)
}

// TestBurst checks the queue under overload: the fraction of flows answered
// within their objective is close to the capacity of the slots, two thirds. In
// order of arrival, most flows are late.
func TestBurst(t *testing.T) {
	inArrivalOrder := burst(nil)
	queued := burst(New[string](Config{MaxItems: 1000}))
	assert.Assert(t, inArrivalOrder < 0.4, "fraction answered within the objective in order of arrival: %.2f", inArrivalOrder)
	assert.Assert(t, queued > 0.6, "fraction answered within the objective with the queue: %.2f", queued)
}
