package hsmatrix

import (
	"flag"
	"fmt"
	"heatherstack.org/heatherstack/internal/hspacket"
	"net/netip"
	"strings"
	"testing"
)

var cellFlag = flag.Int("cell", 0, "")
var flowFlag = flag.String("flow", "", "")

func TestDebug(t *testing.T) {
	if *cellFlag == 0 {
		t.Skip()
	}
	seed := uint64(*cellFlag)
	b := int((seed - 1) % 1000)
	f, step := Faults[b/8], Steps[b%8]
	s := NewScene(seed)
	s.N.Trace = func(what string, from, to netip.Addr, st hspacket.Steer, p *hspacket.Packet) {
		var txt string
		if p != nil {
			txt = fmt.Sprintf("%s>%s %d flags=%d seq=%d ack=%d len=%d", p.Src, p.Dst, p.Proto, p.Seg.Flags, p.Seg.Seq, p.Seg.Ack, p.Seg.Len)
		} else {
			txt = st.Flow.String()
		}
		if *flowFlag != "" && strings.Contains(txt, *flowFlag) {
			fmt.Printf("%8.1f %s %s>%s k=%d hops=%d tgt=%x sure=%d | %s\n", float64(s.N.Now.Sub(epoch).Microseconds())/1000, what, from, to, st.Kind, st.Hops, st.Target>>48, st.Sure, txt)
		}
	}
	fmt.Println("fault", f.Name, "step", step.Name)
	step.Reach(s)
	fmt.Println("fault at", s.N.Now.Sub(epoch).Milliseconds())
	f.Run(s)
	s.N.Run(f.Down + afterFault)
	fmt.Println(s.Finish(recovery + f.Down))
	for _, c := range s.N.Clients {
		if k, ok := c.Flow(); ok {
			fmt.Println("OPEN", k.String())
		}
	}
	for n, ta := range s.Tallies {
		for _, note := range ta.Notes {
			fmt.Println(n, note)
		}
	}
	for _, h := range s.N.Hosts {
		if c := h.Core(); c != nil {
			fmt.Println(h.Name, h.Addr, h.Zone, h.running, h.Version(), fmt.Sprintf("%+v", c.Stats), c.Counts)
		}
	}
	for _, m := range s.Estate.Targets {
		fmt.Println(m.Name, m.Address, m.Zone, m.Leaving)
	}
}
