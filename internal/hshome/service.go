package hshome

import (
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// An address may move from one service to another while it has open flows.
// These stay with the service that they were opened to; new flows go to the
// service that has the address now.

// bindServices updates the indices into View.Services of the services that flows
// refer to.
func (c *Core) bindServices() {
	for i := range c.serviceAt {
		c.serviceAt[i] = -1
	}
	for i := range c.view.Services {
		name := c.view.Services[i].Name
		n, ok := c.byService[name]
		if !ok {
			n = uint16(len(c.services))
			c.services = append(c.services, name)
			c.serviceAt = append(c.serviceAt, -1)
			c.byService[name] = n
		}
		c.serviceAt[n] = i
	}
}

// owner returns the service that the flow was opened to, or nil if the view no
// longer lists it.
func (c *Core) owner(f *flow) *hsrank.Service {
	at := c.serviceAt[f.service]
	if at < 0 {
		return nil
	}
	return &c.view.Services[at]
}

// owned reports whether target at serves the service that the flow was opened to.
func (c *Core) owned(f *flow, at int) bool {
	s := c.owner(f)
	return s != nil && at >= 0 && s.Serves(at)
}

// holder returns the service that a flow to s's address belongs to if target at
// holds the flow: s itself, or the service that had the address earlier. It
// returns nil if the target serves neither.
func (c *Core) holder(s *hsrank.Service, at int) *hsrank.Service {
	if s.Serves(at) {
		return s
	}
	if s.Earlier >= 0 && c.view.Services[s.Earlier].Serves(at) {
		return &c.view.Services[s.Earlier]
	}
	return nil
}

// join records s as the service that the flow was opened to.
func (c *Core) join(f *flow, s *hsrank.Service) {
	f.service = c.byService[s.Name]
}

// possible appends to dst all targets that may hold a flow to s's address,
// including those of the service that had the address earlier.
func (c *Core) possible(s *hsrank.Service, key *hsflow.Key, dst []int) []int {
	hash := key.Hash()
	dst = c.view.Candidates(s, hash, dst)
	if s.Earlier < 0 {
		return dst
	}
	return c.view.Candidates(&c.view.Services[s.Earlier], hash, dst)
}
