package hsfeed

import (
	"cmp"
	"math"
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Limits of published values. They are part of the protocol between hosts: an
// entry outside of them is invalid at each host that it reaches, whether from the
// store or from a peer, and one within them arrives unchanged at every host.
const (
	// MaxSlots is the maximum of Target.Slots.
	MaxSlots = 1 << 20
	// MaxNameSize is the maximum size of the name of a service or zone in bytes.
	MaxNameSize = 255
	// MaxDuration is the maximum of all durations.
	MaxDuration = math.MaxUint32 * time.Millisecond
	// MaxNumber is the maximum of Route.Priority and Service.MaxConnections.
	MaxNumber = math.MaxUint32
	// MaxRate is the maximum of Service.WarmUpRate.
	MaxRate = 1e6
	// rateUnits is the number of units of Service.WarmUpRate in one flow a second:
	// rates are multiples of a thousandth.
	rateUnits = 1000
)

// Check returns an error that names the first invalid field, or nil.
func (t *Target) Check() error {
	switch {
	case t.ID == 0:
		return errors.New("id: 0")
	case t.Slots < 1 || t.Slots > MaxSlots:
		return errors.Errorf("slots: %d, want 1 to %d", t.Slots, MaxSlots)
	}
	return cmp.Or(CheckEntryName(t.Name), checkName("service", t.Service), checkName("zone", t.Zone), checkEndpoint(t.Address), checkDuration("warm-up time", t.WarmUp))
}

// Check returns an error that names the first invalid field, or nil.
func (c *Configuration) Check() error {
	if err := checkDuration("idle timeout", c.IdleTimeout); err != nil {
		return err
	}
	for i := range c.Routes {
		if err := c.Routes[i].Check(); err != nil {
			return errors.Annotatef(err, "route %s", c.Routes[i].Address)
		}
	}
	for i := range c.Services {
		if err := c.Services[i].Check(); err != nil {
			return errors.Annotatef(err, "service %.32q", c.Services[i].Name)
		}
	}
	return nil
}

// Check returns an error that names the first invalid field, or nil.
func (r *Route) Check() error {
	switch {
	case !r.Address.IsValid():
		return errors.New("address: invalid")
	case len(r.Shares) == 0:
		return errors.New("no service")
	}
	for _, s := range r.Shares {
		if s.Weight == 0 {
			return errors.Errorf("weight of service %.32q: 0", s.Service)
		}
		if err := checkText("service", s.Service); err != nil {
			return err
		}
	}
	return cmp.Or(checkDuration("timeout", r.Timeout), checkDuration("latency objective", r.LatencyObjective), checkNumber("priority", r.Priority))
}

// Check returns an error that names the first invalid field, or nil.
func (s *Service) Check() error {
	if s.WarmUpRate < 0 || s.WarmUpRate > MaxRate {
		return errors.Errorf("warm-up rate: %g, want 0 to %g", s.WarmUpRate, float64(MaxRate))
	}
	return cmp.Or(
		checkText("name", s.Name), checkText("path", s.HealthPath),
		checkDuration("warm-up time", s.WarmUpTime), checkNumber("connections", s.MaxConnections),
	)
}

// Check returns an error that names the first invalid field, or nil.
func (e *Evacuation) Check() error { return checkName("zone", e.Zone) }

// RoundRate rounds a rate in flows a second to the thousandths in which hosts send
// it to one another, but a rate above 0 not to 0, which means no limit.
func RoundRate(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(1, math.Round(rate*rateUnits)) / rateUnits
}

// CheckEntryName checks the name of a target's entry, which may be unknown.
func CheckEntryName(name string) error {
	if name == "" {
		return nil
	}
	return checkName("name", name)
}

func checkName(field, name string) error {
	if name == "" || len(name) > MaxNameSize {
		return errors.Errorf("%s: %d bytes, want 1 to %d", field, len(name), MaxNameSize)
	}
	return checkText(field, name)
}

// checkText checks a text of any size. A message with a text that is not valid
// UTF-8 cannot be encoded.
func checkText(field, text string) error {
	if !utf8.ValidString(text) {
		return errors.Errorf("%s: not valid UTF-8", field)
	}
	return nil
}

// checkEndpoint checks the address of a target.
func checkEndpoint(a netip.AddrPort) error {
	switch {
	case !a.IsValid():
		return errors.New("address: invalid")
	case a.Addr().Zone() != "":
		return errors.New("address: has a scope zone")
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return errors.Errorf("address: %s is not a unicast address", a.Addr())
	case a.Port() == 0:
		return errors.New("port: 0")
	}
	return nil
}

func checkDuration(field string, d time.Duration) error {
	if d < 0 || d > MaxDuration {
		return errors.Errorf("%s: %s, want 0 to %s", field, d, MaxDuration)
	}
	return nil
}

func checkNumber(field string, n int) error {
	if n < 0 || n > MaxNumber {
		return errors.Errorf("%s: %d, want 0 to %d", field, n, MaxNumber)
	}
	return nil
}
