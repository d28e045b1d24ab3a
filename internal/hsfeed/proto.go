package hsfeed

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hsschema"
)

// ToProto converts an update to its protobuf message, without Update.Errors.
func ToProto(u *Update) *hsschema.Update {
	out := &hsschema.Update{Era: u.Era, Since: u.Since, Revision: u.Revision}
	for i := range u.Events {
		ev := eventToProto(&u.Events[i])
		if ev.Era == u.Era {
			ev.Era = 0
		}
		out.Events = append(out.Events, ev)
	}
	return out
}

// FromProto converts a protobuf message to an update. Update.Errors has an error
// with code PeerMessage for each invalid event. If one has an entry of a target, the
// entry is removed, as it is where the store has an invalid one of that name; other
// invalid events have no effect. The valid events hold in either case: a peer sends an
// event again with every later one, so that rejecting the whole message would
// keep this host from following for good.
func FromProto(m *hsschema.Update) Update {
	u := Update{Era: m.GetEra(), Since: m.GetSince(), Revision: m.GetRevision()}
	for _, e := range m.GetEvents() {
		ev, err := eventFromProto(e)
		if err != nil {
			u.Errors = append(u.Errors, hscode.New(hscode.PeerMessage, eventPath(e), "%v", err))
			t := e.GetTarget()
			if t.GetId() == 0 || CheckEntryName(t.GetName()) != nil {
				continue
			}
			ev = Event{Era: e.GetEra(), Revision: e.GetRevision(), Removed: TargetID(t.GetId()), RemovedName: t.GetName()}
		}
		u.Events = append(u.Events, ev)
	}
	return u
}

// eventPath returns the place of an event in error messages: its revision and
// what it changes.
func eventPath(e *hsschema.Event) string {
	switch c := e.GetChange().(type) {
	case *hsschema.Event_Configuration:
		return fmt.Sprintf("revision %d, configuration %d", e.GetRevision(), c.Configuration.GetVersion())
	case *hsschema.Event_Target:
		return fmt.Sprintf("revision %d, target %d", e.GetRevision(), c.Target.GetId())
	}
	return fmt.Sprintf("revision %d", e.GetRevision())
}

func eventToProto(ev *Event) *hsschema.Event {
	out := &hsschema.Event{Era: ev.Era, Revision: ev.Revision}
	switch {
	case ev.Configuration != nil:
		out.Change = &hsschema.Event_Configuration{Configuration: configurationToProto(ev.Configuration)}
	case ev.Target != nil:
		out.Change = &hsschema.Event_Target{Target: targetToProto(ev.Target)}
	case ev.Evacuation != nil:
		out.Change = &hsschema.Event_Evacuation{Evacuation: &hsschema.Evacuation{
			Zone: ev.Evacuation.Zone, Ended: ev.Evacuation.Ended, Requested: ev.Evacuation.Requested,
		}}
	default:
		out.Change = &hsschema.Event_Gone{Gone: uint64(ev.Removed)}
		out.Name = ev.RemovedName
		out.Born, out.Draining = ev.RemovedStamp.StartUnixMilli, ev.RemovedStamp.Draining
	}
	return out
}

// eventFromProto returns the event, or an error that says why it is invalid.
func eventFromProto(e *hsschema.Event) (Event, error) {
	out := Event{Era: e.GetEra(), Revision: e.GetRevision()}
	var err error
	switch c := e.GetChange().(type) {
	case *hsschema.Event_Configuration:
		out.Configuration = configurationFromProto(c.Configuration)
		err = out.Configuration.Check()
	case *hsschema.Event_Target:
		out.Target = targetFromProto(c.Target)
		err = out.Target.Check()
	case *hsschema.Event_Evacuation:
		m := c.Evacuation
		out.Evacuation = &Evacuation{Zone: m.GetZone(), Ended: m.GetEnded(), Requested: m.GetRequested()}
		err = out.Evacuation.Check()
	case *hsschema.Event_Gone:
		out.Removed, out.RemovedName = TargetID(c.Gone), e.GetName()
		err = CheckEntryName(out.RemovedName)
		out.RemovedStamp = Stamp{StartUnixMilli: e.GetBorn(), Draining: e.GetDraining()}
	default:
		err = errors.New("unknown kind of change")
	}
	return out, err
}

func targetToProto(t *Target) *hsschema.Backend {
	return &hsschema.Backend{
		Id:       uint64(t.ID),
		Name:     t.Name,
		Service:  t.Service,
		Address:  t.Address.String(),
		Zone:     t.Zone,
		Slots:    uint32(t.Slots),
		Draining: t.Draining,
		Cold:     toMilliseconds(t.WarmUp),
		Born:     t.StartUnixMilli,
	}
}

func targetFromProto(b *hsschema.Backend) *Target {
	return &Target{
		ID:             TargetID(b.GetId()),
		Name:           b.GetName(),
		Service:        b.GetService(),
		Address:        addressFromProto(b.GetAddress()),
		Zone:           b.GetZone(),
		Slots:          int(b.GetSlots()),
		Draining:       b.GetDraining(),
		WarmUp:         fromMilliseconds(b.GetCold()),
		StartUnixMilli: b.GetBorn(),
	}
}

// addressFromProto returns the zero AddrPort, which is not valid, for a text that
// is no address and port.
func addressFromProto(text string) netip.AddrPort {
	at, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return at
}

func configurationToProto(c *Configuration) *hsschema.Configuration {
	out := &hsschema.Configuration{Version: c.Version, Idle: toMilliseconds(c.IdleTimeout)}
	for i := range c.Routes {
		out.Routes = append(out.Routes, routeToProto(&c.Routes[i]))
	}
	for _, s := range c.Services {
		out.Services = append(out.Services, serviceToProto(&s))
	}
	return out
}

func configurationFromProto(m *hsschema.Configuration) *Configuration {
	out := &Configuration{Version: m.GetVersion(), IdleTimeout: fromMilliseconds(m.GetIdle())}
	for _, r := range m.GetRoutes() {
		out.Routes = append(out.Routes, routeFromProto(r))
	}
	for _, s := range m.GetServices() {
		out.Services = append(out.Services, serviceFromProto(s))
	}
	return out
}

func serviceToProto(s *Service) *hsschema.Pool {
	return &hsschema.Pool{
		Name:        s.Name,
		Health:      s.HealthPath,
		Connections: uint32(s.MaxConnections),
		Cold:        toMilliseconds(s.WarmUpTime),
		Rate:        uint32(math.Round(s.WarmUpRate * rateUnits)),
	}
}

func serviceFromProto(p *hsschema.Pool) Service {
	return Service{
		Name:           p.GetName(),
		HealthPath:     p.GetHealth(),
		MaxConnections: int(p.GetConnections()),
		WarmUpTime:     fromMilliseconds(p.GetCold()),
		WarmUpRate:     float64(p.GetRate()) / rateUnits,
	}
}

func routeToProto(r *Route) *hsschema.Route {
	out := &hsschema.Route{
		Address:    r.Address.String(),
		Timeout:    toMilliseconds(r.Timeout),
		Aim:        toMilliseconds(r.LatencyObjective),
		Priority:   uint32(r.Priority),
		Idempotent: r.Idempotent,
		Earlier:    r.PreviousServices,
	}
	for _, s := range r.Shares {
		out.Shares = append(out.Shares, &hsschema.Share{Service: s.Service, Weight: s.Weight})
	}
	return out
}

func routeFromProto(m *hsschema.Route) Route {
	out := Route{
		Address:          addressFromProto(m.GetAddress()),
		Timeout:          fromMilliseconds(m.GetTimeout()),
		LatencyObjective: fromMilliseconds(m.GetAim()),
		Priority:         int(m.GetPriority()),
		Idempotent:       m.GetIdempotent(),
		PreviousServices: m.GetEarlier(),
	}
	for _, s := range m.GetShares() {
		out.Shares = append(out.Shares, Share{Service: s.GetService(), Weight: s.GetWeight()})
	}
	return out
}

func toMilliseconds(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
