package hsowner

import (
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// An address may move from one service to another while it has open flows.
// These stay with the service that they were opened to; new flows go to the
// service that has the address now.

// indexServices updates the indices into View.Services of the services that
// flows refer to.
func (c *Core) indexServices() {
	for i := range c.serviceIndex {
		c.serviceIndex[i] = -1
	}
	for i := range c.view.Services {
		name := c.view.Services[i].Name
		n, ok := c.byService[name]
		if !ok {
			n = uint16(len(c.services))
			c.services = append(c.services, name)
			c.serviceIndex = append(c.serviceIndex, -1)
			c.byService[name] = n
		}
		c.serviceIndex[n] = i
	}
}

// serviceOf returns the service that the flow was opened to, or nil if the view
// no longer lists it.
func (c *Core) serviceOf(f *flow) *hsrank.Service {
	i := c.serviceIndex[f.service]
	if i < 0 {
		return nil
	}
	return &c.view.Services[i]
}

// targetServes reports whether a target serves the service that the flow was
// opened to.
func (c *Core) targetServes(f *flow, viewIndex int) bool {
	s := c.serviceOf(f)
	return s != nil && viewIndex >= 0 && s.HasTarget(viewIndex)
}

// serviceForTarget returns the service that a flow to s's address belongs to if
// the given target holds the flow: s itself, or the service that had the
// address earlier. It returns nil if the target serves neither.
func (c *Core) serviceForTarget(s *hsrank.Service, viewIndex int) *hsrank.Service {
	if s.HasTarget(viewIndex) {
		return s
	}
	if s.PreviousService >= 0 && c.view.Services[s.PreviousService].HasTarget(viewIndex) {
		return &c.view.Services[s.PreviousService]
	}
	return nil
}

// setService records s as the service that the flow was opened to.
func (c *Core) setService(f *flow, s *hsrank.Service) {
	f.service = c.byService[s.Name]
}

// appendCandidates appends to dst all targets that may hold a flow to s's
// address, including those of the service that had the address earlier.
func (c *Core) appendCandidates(s *hsrank.Service, key *hsflow.Key, dst []int) []int {
	hash := key.Hash()
	dst = c.view.Candidates(s, hash, dst)
	if s.PreviousService < 0 {
		return dst
	}
	return c.view.Candidates(&c.view.Services[s.PreviousService], hash, dst)
}
