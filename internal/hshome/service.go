package hshome

import (
	"heatherstack.org/heatherstack/internal/hsflow"
	"heatherstack.org/heatherstack/internal/hsrank"
)

// An address may move from one service to another while flows are open to it.
// They stay with the service that they were opened to, and new flows go to the
// one that has the address now.

// bindServices notes where the services that flows refer to are in the view.
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

// owner returns the service that the flow was opened to, or nil if it is not
// listed any more.
func (c *Core) owner(f *flow) *hsrank.Service {
	at := c.serviceAt[f.service]
	if at < 0 {
		return nil
	}
	return &c.view.Services[at]
}

// owned reports whether target at still serves the flow's service.
func (c *Core) owned(f *flow, at int) bool {
	s := c.owner(f)
	return s != nil && at >= 0 && s.Serves(at)
}

// holder returns the service that a flow to s's address has if target at holds
// it: s itself, or the one that had the address earlier. It returns nil if
// neither has the target.
func (c *Core) holder(s *hsrank.Service, at int) *hsrank.Service {
	if s.Serves(at) {
		return s
	}
	if s.Earlier >= 0 && c.view.Services[s.Earlier].Serves(at) {
		return &c.view.Services[s.Earlier]
	}
	return nil
}

// join makes the flow one of the service.
func (c *Core) join(f *flow, s *hsrank.Service) {
	f.service = c.byService[s.Name]
}

// possible appends to dst all targets that may hold a flow to s's address.
func (c *Core) possible(s *hsrank.Service, key *hsflow.Key, dst []int) []int {
	hash := key.Hash()
	dst = c.view.Candidates(s, hash, dst)
	if s.Earlier < 0 {
		return dst
	}
	return c.view.Candidates(&c.view.Services[s.Earlier], hash, dst)
}
