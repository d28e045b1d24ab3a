package hsdirect

import (
	"net/netip"
	"time"
)

type (
	// Settings configure one entry host.
	Settings struct {
		Name string
		Zone string
		// Address and port of the socket for callers' packets.
		Data netip.AddrPort
		// Address and port of the readiness check.
		Ready netip.AddrPort
		// Port of heartbeats (UDP) and of calls between entry hosts (TCP); the
		// same on all of them.
		Peer uint16
		// Entry hosts to ask first; some may be down or gone.
		Seeds []netip.Addr
		// Address and port of the store.
		Store netip.AddrPort
		// Time limit of a planned stop.
		Stop time.Duration
		// Longest life of a flow; 0 for defaultLife.
		Life time.Duration
		// Time within which a published configuration has to be in force; 0 for
		// defaultForce.
		Force time.Duration
		// Time for which a target goes on serving after it has announced its end
		// or is not listed any more; 0 for defaultDrain.
		Drain time.Duration
	}
)

const (
	// defaultLife, defaultForce and defaultDrain hold where the deployment says
	// nothing; they are those of the deployments that this program was first
	// built for.
	defaultLife  = time.Minute
	defaultForce = 3 * time.Second
	defaultDrain = 3 * time.Second
	// forceMargin is the part of Force that is left to list the store anew after
	// a watch that brought nothing: the time limit of a call and some tens of
	// milliseconds.
	forceMargin = time.Second
	// watchMin bounds the calls of an idle store.
	watchMin = 500 * time.Millisecond
	// drainMargin is the part of Drain that is left for the packets of a new flow
	// on their way, and for the time by which hosts hear of a change later than
	// others.
	drainMargin = 700 * time.Millisecond
	// lapseMax is the time by which an entry that lapsed while the store was away
	// is listed again, if its target lives: two seconds and the way to this host.
	lapseMax = 2300 * time.Millisecond
)

// filled returns the settings with the defaults of what they leave out.
func (s Settings) filled() Settings {
	s.Life = orDefault(s.Life, defaultLife)
	s.Force = orDefault(s.Force, defaultForce)
	s.Drain = orDefault(s.Drain, defaultDrain)
	return s
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// watchWait returns the time for which a watch waits. A watch whose connection
// went silent is noticed after it, within the time in which a configuration has
// to be in force.
func (s *Settings) watchWait() time.Duration { return max(s.Force-forceMargin, watchMin) }

// lapse returns the time for which a target that is not listed any more takes
// new flows, unless it announced its end.
func (s *Settings) lapse() time.Duration { return min(max(s.Drain-drainMargin, 0), lapseMax) }
