package hssoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"heatherstack.org/heatherstack/internal/hsfeed"
	"heatherstack.org/heatherstack/internal/hstask"
)

const (
	// invalidTarget is the first of invalidCount target IDs that no target has.
	invalidTarget hsfeed.TargetID = 1 << 40
	invalidCount                  = 3
	// maxInvalidInterval is the maximum time between two writes of invalid entries.
	maxInvalidInterval = 1500 * time.Millisecond
)

// startInvalidTargets listens at the addresses in invalid entries. A packet that
// arrives there is a violation.
func (s *soak) startInvalidTargets(ctx context.Context) error {
	for n := range invalidCount {
		conn, err := hstask.ListenUDP(s.invalidAddr(n))
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
					// The socket was closed.
					return nil
				}
				s.checker.fail("%s sent a packet to the target of an invalid entry", from)
			}
		})
	}
	return nil
}

func (s *soak) invalidAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(s.addr(5, byte(1+n)), targetPort)
}

// leaveInvalidEntries writes and removes invalid entries until the given time,
// beside the other faults. No host may use their targets, follow later changes
// late because of them, or end. It has a generator of its own, so that the plan of
// the other faults depends on the seed as before.
func (s *soak) leaveInvalidEntries(ctx context.Context, end time.Time) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 5))
	for time.Now().Before(end) && ctx.Err() == nil {
		n := rng.IntN(invalidCount)
		id := invalidTarget + hsfeed.TargetID(n)
		if rng.IntN(4) == 0 {
			s.trace("remove invalid entry %x", uint64(id))
			s.cfg.Store.Publish(&hsfeed.Event{Removed: id})
		} else {
			fault := s.cfg.Store.PublishInvalid(s.invalidEntryOf(rng, id, n), rng)
			s.trace("invalid entry %x: %s", uint64(id), fault)
		}
		hstask.Sleep(ctx, randDuration(rng, minFaultTime, maxInvalidInterval))
	}
}

// leaveSimilarEntries writes and removes entries until the given time that have the
// ID of a target that runs, under another name: invalid ones, and ones of an unknown
// service at another address. They must not change what hosts do.
func (s *soak) leaveSimilarEntries(ctx context.Context, end time.Time) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 6))
	for time.Now().Before(end) && ctx.Err() == nil {
		if ids := s.targetIDs(); len(ids) > 0 {
			s.leaveSimilarEntry(rng, ids[rng.IntN(len(ids))], rng.IntN(3))
		}
		hstask.Sleep(ctx, randDuration(rng, minFaultTime, maxInvalidInterval))
	}
}

// leaveAllSimilarEntries writes an invalid entry of another name for each target.
func (s *soak) leaveAllSimilarEntries() {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 7))
	for _, id := range s.targetIDs() {
		s.leaveSimilarEntry(rng, id, 0)
	}
}

// leaveSimilarEntry writes an invalid entry with the ID of a target (kind 0), writes
// one of an unknown service, or removes what was written before.
func (s *soak) leaveSimilarEntry(rng *rand.Rand, id hsfeed.TargetID, kind int) {
	t := s.invalidEntryOf(rng, id, rng.IntN(invalidCount))
	t.Name = fmt.Sprintf("old-%x", uint64(id))
	switch kind {
	case 0:
		s.trace("invalid entry %s: %s", t.Name, s.cfg.Store.PublishInvalid(t, rng))
	case 1:
		t.Service = "unknown"
		s.trace("entry %s of an unknown service", t.Name)
		s.cfg.Store.Publish(&hsfeed.Event{Target: t})
	default:
		s.trace("remove entry %s", t.Name)
		s.cfg.Store.Publish(&hsfeed.Event{Removed: id, RemovedName: t.Name})
	}
}

// targetIDs returns the IDs of the targets that run.
func (s *soak) targetIDs() []hsfeed.TargetID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]hsfeed.TargetID, 0, len(s.targets))
	for _, t := range s.targets {
		ids = append(ids, t.entry.ID)
	}
	return ids
}

// invalidEntryOf returns an entry at the n-th address of startInvalidTargets, for
// a fault to be added.
func (s *soak) invalidEntryOf(rng *rand.Rand, id hsfeed.TargetID, n int) *hsfeed.Target {
	return &hsfeed.Target{
		ID: id, Service: services[rng.IntN(len(services))], Zone: zoneName(rng.IntN(zoneCount)), Slots: targetSlots, Address: s.invalidAddr(n),
	}
}
