package hssoak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

const (
	// oddTarget is the first of oddCount target IDs that no target has.
	oddTarget hsfeed.TargetID = 1 << 40
	oddCount                  = 3
	// maxOddInterval is the maximum time between two writes of odd entries.
	maxOddInterval = 1500 * time.Millisecond
)

// startOddTargets listens where odd entries point to. A packet that arrives there
// is a violation.
func (s *soak) startOddTargets(ctx context.Context) error {
	for n := range oddCount {
		conn, err := hstask.ListenUDP(s.oddAddr(n))
		if err != nil {
			return errors.Trace(err)
		}
		s.g.Go(func() error {
			<-ctx.Done()
			// Ends the loop below.
			return conn.Close()
		})
		s.g.Go(func() error {
			buf := make([]byte, maxPacketSize)
			for {
				_, from, err := conn.ReadFromUDPAddrPort(buf)
				if err != nil {
					return nil
				}
				s.checker.fail("%s sent a packet to the target of an odd entry", from)
			}
		})
	}
	return nil
}

func (s *soak) oddAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(s.addr(5, byte(1+n)), targetPort)
}

// leaveOddEntries writes odd entries until the given time, each in place of an
// earlier one, and removes some. No host may use what they name, follow later
// changes late because of them, or end. Like the evacuations it has a generator
// of its own.
func (s *soak) leaveOddEntries(ctx context.Context, end time.Time) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 5))
	for time.Now().Before(end) && ctx.Err() == nil {
		n := rng.IntN(oddCount)
		id := oddTarget + hsfeed.TargetID(n)
		if rng.IntN(4) == 0 {
			s.trace("remove odd entry %x", uint64(id))
			s.cfg.Store.Publish(&hsfeed.Event{Removed: id})
		} else {
			fault := s.cfg.Store.PublishOdd(&hsfeed.Target{
				ID: id, Service: services[rng.IntN(len(services))], Zone: zoneName(rng.IntN(zoneCount)), Slots: targetSlots,
				Address: s.oddAddr(n),
			}, rng)
			s.trace("odd entry %x: %s", uint64(id), fault)
		}
		hstask.Sleep(ctx, randDuration(rng, minFaultTime, maxOddInterval))
	}
}
