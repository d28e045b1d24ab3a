package hsdirect

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/phuslu/log"

	"heatherstack.org/heatherstack/internal/hscode"
	"heatherstack.org/heatherstack/internal/hscookie"
	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

type (
	// Status is the status page of a host.
	Status struct {
		Host string `json:"host"`
		Zone string `json:"zone"`
		Boot uint64 `json:"boot"`
		// Position of the published state.
		Era      uint64 `json:"era"`
		Revision uint64 `json:"revision"`
		// Version of the current configuration.
		Version uint64 `json:"version"`
		// Zones with targets or tracked flows, and zones that are being evacuated, in
		// the order of their names.
		Zones []ZoneStatus `json:"zones"`
	}

	// ZoneStatus is what the status page says about one zone.
	ZoneStatus struct {
		Zone string `json:"zone"`
		// Listed targets.
		Targets int `json:"targets"`
		// Open flows that the host tracks, and their requests in progress.
		Flows    int `json:"flows"`
		Requests int `json:"requests"`
		// Nil if the zone is not being evacuated.
		Evacuation *EvacuationStatus `json:"evacuation,omitempty"`
	}

	// EvacuationStatus is what the status page says about an evacuation.
	EvacuationStatus struct {
		// Time at which the host learned of the request, by its clock.
		Since time.Time `json:"since"`
		// Revision of the store at which the request was written.
		Requested uint64 `json:"requested"`
		// Era in which the store last named the zone; the request is not in the
		// present store if it is below Status.Era.
		Era uint64 `json:"era"`
	}
)

const statusPath = "/status"

func zoneNames(records []hsfeed.EvacuationRecord) []string {
	names := make([]string, len(records))
	for i := range records {
		names[i] = records[i].Zone
	}
	return names
}

// logEvacuations logs the evacuations that started and ended, and those that the
// store of a new era does not name: they stay in force until it does.
func (c *controller) logEvacuations(now time.Time, out *Output) {
	state := c.core.State()
	if out.EvacuationsChanged {
		next := make(map[string]hsfeed.EvacuationRecord, len(out.Evacuations))
		for _, e := range out.Evacuations {
			next[e.Zone] = e
			if _, known := c.evacuations[e.Zone]; !known {
				c.evacuationCount++
				c.logEvacuation(log.InfoLevel, hscode.OK, &e).Msg("zone evacuation started")
			}
		}
		for zone, e := range c.evacuations {
			if _, active := next[zone]; !active {
				c.logEvacuation(log.InfoLevel, hscode.OK, &e).Dur("lasted", now.Sub(e.Since)).Msg("zone evacuation ended")
			}
		}
		c.evacuations = next
	}
	era := state.Position().Era
	if era == c.comparedEra {
		return
	}
	c.comparedEra = era
	for _, e := range state.Evacuations() {
		if e.Position.Era < era {
			c.counts[hscode.PlatformOlder]++
			c.logEvacuation(log.WarnLevel, hscode.PlatformOlder, &e).
				Msg("the store lacks the evacuation of a zone; it stays in force until the store names the zone")
		}
	}
}

func (c *controller) logEvacuation(level log.Level, code hscode.Code, e *hsfeed.EvacuationRecord) *log.Entry {
	p := c.core.State().Position()
	return c.e.log(level, code).Str("zone", e.Zone).Uint64("requested", e.Requested).Uint64("era", p.Era).Uint64("revision", p.Revision)
}

// serveStatus answers with the host's status as JSON.
func (e *EntryHost) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	fromData := make(chan []hscookie.ZoneLoad, 1)
	e.notifyData(ctx, dataMessage{zonesReply: fromData})
	loads, dataOK := hstask.Await(ctx, fromData)
	fromControl := make(chan ControlStatus, 1)
	control, controlOK := hstask.Call(ctx, e.toControl, controlMessage{statusReply: fromControl}, fromControl)
	if !dataOK || !controlOK {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(e.newStatus(loads, &control))
}

func (e *EntryHost) newStatus(loads []hscookie.ZoneLoad, c *ControlStatus) *Status {
	out := &Status{
		Host: e.cfg.Settings.Name, Zone: e.cfg.Settings.Zone, Boot: e.cfg.Boot,
		Era: c.State.Era, Revision: c.State.Revision, Version: c.ConfigurationVersion, Zones: []ZoneStatus{},
	}
	for _, l := range loads {
		out.Zones = append(out.Zones, ZoneStatus{Zone: l.Zone, Targets: l.Targets, Flows: l.Flows, Requests: l.Requests})
	}
	for _, ev := range c.Evacuations {
		i := slices.IndexFunc(out.Zones, func(z ZoneStatus) bool { return z.Zone == ev.Zone })
		if i < 0 {
			i = len(out.Zones)
			out.Zones = append(out.Zones, ZoneStatus{Zone: ev.Zone})
		}
		out.Zones[i].Evacuation = &EvacuationStatus{Since: ev.Since.UTC(), Requested: ev.Requested, Era: ev.Position.Era}
	}
	slices.SortFunc(out.Zones, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
