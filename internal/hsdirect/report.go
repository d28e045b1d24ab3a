package hsdirect

import (
	"cmp"
	"slices"
	"time"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hsplace"
	"heatherstack.org/heatherstack/internal/hsschema"
)

type (
	// PeerReport is a peer's load report: its loads by target and, if it is in this
	// zone, the targets that it has ejected and the paces that it knows.
	PeerReport struct {
		Host    string
		Loads   []hsplace.Load
		Ejected []hsfeed.TargetID
		// Time for which the targets in Ejected also count as ejected at this host.
		EjectionDuration time.Duration
		Paces            []hsplace.Pace
	}

	// LocalReport is this host's load report: its loads by target, the targets that
	// it has ejected, and the paces that it knows, the most telling first.
	LocalReport struct {
		Loads   []hsplace.Load
		Ejected []hsfeed.TargetID
		Paces   []hsplace.Pace
		// True if the ejected targets changed; peers in this zone are then notified
		// at once.
		EjectionsChanged bool
	}

	// roundRobin is the round-robin state of the reports to a group of peers.
	roundRobin struct {
		// Time of the last periodic report.
		lastReport time.Time
		// Number of recipients so far; selects the next one.
		position int
	}
)

const (
	// zoneReportInterval and remoteReportInterval are the times between two load
	// reports to peers in this zone and in other zones. In the load model, a burst
	// of 2.4 times the usual load requires reports within the zone this often;
	// reports to other zones only prevent hosts from overloading targets there.
	zoneReportInterval   = 200 * time.Millisecond
	remoteReportInterval = time.Second
	// maxZoneRecipients and maxRemoteRecipients limit the recipients of one
	// report. If there are more peers, they receive reports in turn, so that the
	// cost of reports per host does not grow with the deployment.
	maxZoneRecipients   = 3
	maxRemoteRecipients = 4
	// maxReportedLoads and maxReportedEjections limit the targets listed in one
	// report.
	maxReportedLoads     = 12
	maxReportedEjections = 32
	// maxReportedPaces is the maximum number of paces in a report to
	// maxZoneRecipients peers; every second report carries one less. Fewer
	// recipients get more, within the same bytes. A pace takes 18 bytes, so that a
	// host sends at most 410 bytes a second of them.
	maxReportedPaces = 2
	// paceCountUnits is the unit of a pace's count in messages: tenths of a
	// request, since older requests count less.
	paceCountUnits = 10
	// expectedUnits is the unit of expected requests in messages: thousandths.
	expectedUnits = 1000
	// peerEjectionRounds is the time for which a peer's ejection of a target also
	// applies at this host, in rounds of that peer's reports: one report may be
	// lost. minPeerEjection is the lower limit, which applies in a small zone; the
	// upper limit, hsplace.MaxEjection, applies in a large one.
	peerEjectionRounds = 2
	minPeerEjection    = 450 * time.Millisecond
)

// roundTime returns the duration of a round of reports, in which each of n
// peers in the zone gets one report.
func roundTime(n int) time.Duration {
	return time.Duration((n+maxZoneRecipients-1)/maxZoneRecipients) * zoneReportInterval
}

// peerEjectionDuration returns the time for which a peer's ejection of a target
// also applies at a host with n peers in its zone.
func peerEjectionDuration(n int) time.Duration {
	return min(max(peerEjectionRounds*roundTime(n), minPeerEjection), hsplace.MaxEjection)
}

// ReportLoads sends this host's load report to the peers whose turn it is. If
// the ejected targets changed, up to maxPushPeers peers in this zone get it at
// once.
func (c *Core) ReportLoads(now time.Time, report *LocalReport) Output {
	var zonePeers, remotePeers []string
	for _, p := range c.roster.Peers() {
		switch {
		case !p.Alive:
		case p.Zone == c.cfg.Zone:
			zonePeers = append(zonePeers, p.Name)
		default:
			remotePeers = append(remotePeers, p.Name)
		}
	}
	zoneDue := c.zoneReports.duePeers(now, zoneReportInterval, zonePeers, maxZoneRecipients)
	paces := c.duePaces(report.Paces, len(zoneDue))
	if report.EjectionsChanged {
		zoneDue, paces = c.zoneReports.takePeers(zonePeers, maxPushPeers), nil
	}
	remoteDue := c.remoteReports.duePeers(now, remoteReportInterval, remotePeers, maxRemoteRecipients)
	if len(remoteDue) > 0 {
		c.sendReport(report, nil, remoteDue)
	}
	if len(zoneDue) > 0 {
		c.sendReport(report, paces, zoneDue)
	}
	return c.takeOutput()
}

// duePaces returns the paces that the next report to the given number of peers
// in this zone carries.
func (c *Core) duePaces(paces []hsplace.Pace, recipients int) []hsplace.Pace {
	if recipients == 0 || len(paces) == 0 {
		return nil
	}
	c.paceRound++
	limit := maxReportedPaces - c.paceRound%2
	return paces[:min(len(paces), limit*maxZoneRecipients/recipients)]
}

// sendReport sends a load report to the given peers.
func (c *Core) sendReport(report *LocalReport, paces []hsplace.Pace, due []string) {
	hb := c.roster.NewMessage(hsschema.Heartbeat_KIND_LOADS)
	loads := report.Loads
	slices.SortFunc(loads, func(a, b hsplace.Load) int {
		return cmp.Compare(float64(b.Requests)+b.Expected, float64(a.Requests)+a.Expected)
	})
	for _, l := range loads[:min(len(loads), maxReportedLoads)] {
		hb.Loads = append(hb.Loads, &hsschema.Load{
			Target: uint64(l.Target),
			Flows:  uint32(l.Requests),
			Idle:   uint32(l.Expected * expectedUnits),
		})
	}
	for _, id := range report.Ejected[:min(len(report.Ejected), maxReportedEjections)] {
		hb.Ejected = append(hb.Ejected, uint64(id))
	}
	for _, p := range paces {
		hb.Paces = append(hb.Paces, &hsschema.Pace{
			Target: uint64(p.Target),
			Time:   uint32(p.Time.Microseconds()),
			Count:  uint32(p.Count * paceCountUnits),
		})
	}
	for _, name := range due {
		c.send(name, hb)
	}
}

// duePeers returns up to limit peers whose turn it is, or none if the interval
// since the last report has not passed.
func (r *roundRobin) duePeers(now time.Time, interval time.Duration, peers []string, limit int) []string {
	if now.Sub(r.lastReport) < interval || len(peers) == 0 {
		return nil
	}
	r.lastReport = now
	return r.takePeers(peers, limit)
}

// takePeers returns up to limit peers in round-robin order.
func (r *roundRobin) takePeers(peers []string, limit int) []string {
	due := make([]string, 0, limit)
	for range min(limit, len(peers)) {
		due = append(due, peers[r.position%len(peers)])
		r.position++
	}
	return due
}

func decodeLoads(hb *hsschema.Heartbeat) []hsplace.Load {
	out := make([]hsplace.Load, 0, len(hb.GetLoads()))
	for _, l := range hb.GetLoads() {
		out = append(out, hsplace.Load{
			Target:   hsfeed.TargetID(l.GetTarget()),
			Requests: int(l.GetFlows()),
			Expected: float64(l.GetIdle()) / expectedUnits,
		})
	}
	slices.SortFunc(out, func(a, b hsplace.Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func decodeEjected(hb *hsschema.Heartbeat) []hsfeed.TargetID {
	out := make([]hsfeed.TargetID, 0, len(hb.GetEjected()))
	for _, id := range hb.GetEjected() {
		out = append(out, hsfeed.TargetID(id))
	}
	return out
}

// decodePaces returns the paces of a heartbeat. More than a report holds are
// ignored; the placer checks the values.
func decodePaces(hb *hsschema.Heartbeat) []hsplace.Pace {
	list := hb.GetPaces()
	list = list[:min(len(list), maxReportedPaces*maxZoneRecipients)]
	out := make([]hsplace.Pace, 0, len(list))
	for _, p := range list {
		out = append(out, hsplace.Pace{
			Target: hsfeed.TargetID(p.GetTarget()),
			Time:   time.Duration(p.GetTime()) * time.Microsecond,
			Count:  float64(p.GetCount()) / paceCountUnits,
		})
	}
	return out
}
