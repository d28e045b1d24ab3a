package hsplace

import "time"

// SetEvacuations replaces the zones whose targets receive no new flows because
// the operator evacuates them. Names without targets have no effect until there
// are some. The targets of a zone whose evacuation has ended had no requests for
// some time and count as warming up: for the warm-up time of their service, or of
// their entry if that is longer.
func (p *Placer) SetEvacuations(now time.Time, zones []string) {
	evacuated := make(map[string]bool, len(zones))
	for _, name := range zones {
		evacuated[name] = true
	}
	for _, t := range p.targets {
		if t.zone.evacuated && !evacuated[t.record.Zone] {
			t.warmUpAfterEvacuation = now.Add(max(p.services[t.record.Service].WarmUpTime, t.record.WarmUp))
			t.extendWarmUp()
		}
	}
	for name, z := range p.zones {
		z.evacuated = evacuated[name]
	}
	p.evacuated = evacuated
	p.setWarmUps()
}

// IsEvacuated reports whether a zone is being evacuated.
func (p *Placer) IsEvacuated(zone string) bool { return p.evacuated[zone] }

// extendWarmUp extends the warm-up time that the target's entry gives to that
// after the evacuation of its zone.
func (t *target) extendWarmUp() {
	if t.warmUpAfterEvacuation.After(t.record.WarmUpUntil) {
		t.record.WarmUpUntil = t.warmUpAfterEvacuation
	}
}

// SetCutOff sets whether this host is cut off from everything outside its zone.
// If so, the targets of its zone receive new flows in spite of an evacuation, as
// long as there are no others: its callers can reach no other target.
func (p *Placer) SetCutOff(cutOff bool) { p.cutOff = cutOff }
