package hslimit

import (
	"slices"
	"time"
)

// CalmTime is the time in service that the requests of one route take while
// they do not queue at targets. The zero value has seen no request.
type CalmTime struct {
	// 0 until minSamples requests were seen.
	value time.Duration
	// Times since the last change of value.
	samples [minSamples]time.Duration
	count   int
	// Number of times that the value was derived from samples, up to
	// 1/rise.
	updates int
}

const (
	// minSamples is the number of requests from which a value is derived: their
	// median at first, so that a few rejections do not determine it, and then
	// their mean.
	minSamples = 8
	// quickFraction is the fraction of the calm time below which an answer may
	// be a rejection. Rejections take a round trip only.
	quickFraction = 0.25
	// fall, rise and congestedRise are the weights of new samples: below the
	// value, above it, and above it while requests queue. A shortage of 30 s
	// raises the value by less than a fifth of the queueing time.
	fall          = 0.1
	rise          = 0.02
	congestedRise = 0.001
	// quickFall is the decrease for each quick answer: a service that has
	// become several times faster is known after a thousand requests, while the
	// rejections of a burst of seconds change little.
	quickFall = 1.0 / 1024
)

// record adds the time in service of a request to a pool that has the given
// ratio, and returns the request's own ratio of the time to the calm time; false
// if the time is no evidence.
func (c *CalmTime) record(d time.Duration, poolRatio float64) (float64, bool) {
	if d <= 0 {
		return 0, false
	}
	if float64(d) < quickFraction*float64(c.value) {
		c.value -= time.Duration(quickFall * float64(c.value))
		return 0, false
	}
	c.samples[c.count] = d
	c.count++
	if c.count == minSamples {
		c.update(poolRatio)
	}
	if c.value == 0 {
		return 0, false
	}
	return float64(d) / float64(c.value), true
}

func (c *CalmTime) update(poolRatio float64) {
	c.count = 0
	if c.value == 0 {
		// The ratio is known from other routes if it is above 1.
		slices.Sort(c.samples[:])
		c.value = time.Duration(float64(c.samples[minSamples/2]) / poolRatio)
		return
	}
	var sum time.Duration
	for _, d := range c.samples {
		sum += d
	}
	mean := sum / minSamples
	weight := congestedRise
	if poolRatio <= congestedRatio {
		// The first values count alike.
		c.updates = min(c.updates+1, int(1/rise)-1)
		weight = 1 / float64(c.updates+1)
	}
	if mean < c.value {
		weight = max(weight, fall)
	}
	c.value += time.Duration(weight * float64(mean-c.value))
}
