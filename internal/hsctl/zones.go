package hsctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"heatherstack.org/heatherstack/internal/hshttp"
)

type (
	// zonesFlags are the arguments of the command zones.
	zonesFlags struct {
		// Addresses that serve the status page, HOST:PORT.
		hosts  []string
		asJSON bool
	}

	// hostStatus is the part of a host's status page that is used here.
	hostStatus struct {
		Host  string `json:"host"`
		Zones []struct {
			Zone       string `json:"zone"`
			Flows      int    `json:"flows"`
			Requests   int    `json:"requests"`
			Evacuation *struct {
				Since time.Time `json:"since"`
			} `json:"evacuation"`
		} `json:"zones"`
	}

	// zonesReport is the result of the command zones.
	zonesReport struct {
		Zones []*zoneReport `json:"zones"`
		// Hosts whose status is included.
		Hosts int `json:"hosts"`
		// Never nil.
		Unreachable []unreachableHost `json:"unreachable"`
	}

	zoneReport struct {
		Zone string `json:"zone"`
		// Number of hosts on which the evacuation of the zone is in force, and the
		// time at which the first of them learned of it, by its clock.
		EvacuatedOn    int        `json:"evacuatedOn"`
		EvacuatedSince *time.Time `json:"evacuatedSince,omitempty"`
		// Hosts that do not evacuate the zone although others do; empty if none.
		NotEvacuatedOn []string `json:"notEvacuatedOn,omitempty"`
		// Sums over the hosts. A flow whose packets pass through several hosts counts
		// at each of them.
		Flows    int `json:"flows"`
		Requests int `json:"requests"`
	}

	unreachableHost struct {
		Address string `json:"address"`
		Error   string `json:"error"`
	}
)

const (
	// callTimeout is the time limit for the answer of a host.
	callTimeout = 2 * time.Second
	// maxCalls is the number of hosts that are called at the same time.
	maxCalls = 32
	// maxStatusSize limits the size of a status page in bytes.
	maxStatusSize = 4 << 20
)

// runZones prints the zones as the given hosts see them.
func runZones(f *zonesFlags, stdout, stderr io.Writer) int {
	statuses := make([]*hostStatus, len(f.hosts))
	failures := make([]error, len(f.hosts))
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for i, host := range f.hosts {
		g.Go(func() error {
			statuses[i], failures[i] = getStatus(host)
			return nil
		})
	}
	// The calls return no error here; see failures.
	_ = g.Wait()
	report := &zonesReport{Unreachable: []unreachableHost{}}
	for i, err := range failures {
		if err != nil {
			report.Unreachable = append(report.Unreachable, unreachableHost{Address: f.hosts[i], Error: err.Error()})
		}
	}
	report.add(slices.DeleteFunc(statuses, func(s *hostStatus) bool { return s == nil }))
	report.write(stdout, stderr, f.asJSON)
	if len(report.Unreachable) > 0 {
		return exitErrors
	}
	return exitOK
}

func getStatus(host string) (*hostStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	res, err := hshttp.Get(ctx, http.DefaultClient, "http://"+host+"/status", nil, maxStatusSize)
	switch {
	case ctx.Err() != nil:
		return nil, errors.Errorf("did not answer within %v", callTimeout)
	case err != nil:
		return nil, errors.Cause(err)
	case res.Status != http.StatusOK:
		return nil, errors.Errorf("answered with HTTP status %d", res.Status)
	case len(res.Body) > maxStatusSize:
		return nil, errors.Errorf("answered with more than %d bytes", maxStatusSize)
	}
	s := &hostStatus{}
	if err := json.Unmarshal(res.Body, s); err != nil {
		return nil, errors.Annotate(err, "cannot decode the answer")
	}
	return s, nil
}

// add adds the status of hosts to an empty report.
func (r *zonesReport) add(statuses []*hostStatus) {
	zones := map[string]*zoneReport{}
	evacuating := map[string][]string{}
	for _, s := range statuses {
		for _, z := range s.Zones {
			zone := zones[z.Zone]
			if zone == nil {
				zone = &zoneReport{Zone: z.Zone}
				zones[z.Zone] = zone
			}
			zone.Flows += z.Flows
			zone.Requests += z.Requests
			if z.Evacuation == nil {
				continue
			}
			evacuating[z.Zone] = append(evacuating[z.Zone], s.Host)
			if zone.EvacuatedSince == nil || z.Evacuation.Since.Before(*zone.EvacuatedSince) {
				zone.EvacuatedSince = &z.Evacuation.Since
			}
		}
	}
	for name, hosts := range evacuating {
		zones[name].EvacuatedOn = len(hosts)
		for _, s := range statuses {
			if !slices.Contains(hosts, s.Host) {
				zones[name].NotEvacuatedOn = append(zones[name].NotEvacuatedOn, s.Host)
			}
		}
	}
	r.Hosts = len(statuses)
	r.Zones = slices.SortedFunc(maps.Values(zones), func(a, b *zoneReport) int { return cmp.Compare(a.Zone, b.Zone) })
	if r.Zones == nil {
		r.Zones = []*zoneReport{}
	}
}

// write writes the report as a table, or as one JSON object.
func (r *zonesReport) write(stdout, stderr io.Writer, asJSON bool) {
	if asJSON {
		enc := json.NewEncoder(stdout)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r)
		return
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ZONE\tEVACUATED ON\tSINCE\tFLOWS\tREQUESTS")
	for _, z := range r.Zones {
		on, since := "-", "-"
		if z.EvacuatedOn > 0 {
			on, since = fmt.Sprintf("%d of %d hosts", z.EvacuatedOn, r.Hosts), z.EvacuatedSince.UTC().Format(time.RFC3339)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", z.Zone, on, since, z.Flows, z.Requests)
	}
	_ = table.Flush()
	for _, z := range r.Zones {
		if len(z.NotEvacuatedOn) > 0 {
			_, _ = fmt.Fprintf(stdout, "zone %s is not evacuated on: %s\n", z.Zone, strings.Join(z.NotEvacuatedOn, ", "))
		}
	}
	for _, u := range r.Unreachable {
		_, _ = fmt.Fprintf(stderr, "hsctl: %s is unreachable: %s\n", u.Address, u.Error)
	}
}
