package hslab

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// processes enables TestProcesses. The test takes a minute of real time, so CI
// does not run it; "make faults" does.
var processes = flag.Bool("processes", false, "run the test with real hsentry processes")

const (
	// Time between SIGSTOP and SIGCONT.
	pauseTime = 10 * time.Second
	// Time from a fault until the fabric stops sending to the host.
	fabricNotes = time.Second
	betweenTime = 3 * time.Second
)

// fleet is six hsentry processes that serve the simulated callers and targets of
// a World.
type fleet struct {
	t      *testing.T
	w      *World
	estate *Estate
	binary string
	// By host name.
	running map[string]*exec.Cmd
}

// TestProcesses kills, pauses or stops one real hsentry process after another, by
// process id, while callers send requests, and starts it again.
func TestProcesses(t *testing.T) {
	if !*processes {
		t.Skip("set -processes")
	}
	f := newFleet(t)
	f.w.StartCallers(time.Second)
	f.sleep(betweenTime)
	for i, h := range f.estate.Hosts {
		switch i % 3 {
		case 0:
			t.Logf("SIGKILL %s, restart after %s", h.Name, betweenTime)
			f.stop(h, syscall.SIGKILL)
			f.sleep(betweenTime)
			f.start(h)
		case 1:
			t.Logf("SIGSTOP %s for %s", h.Name, pauseTime)
			f.signal(h, syscall.SIGSTOP)
			f.sleep(fabricNotes)
			f.spray(h.Name)
			f.sleep(pauseTime - fabricNotes)
			f.signal(h, syscall.SIGCONT)
		case 2:
			t.Logf("SIGTERM %s, restart", h.Name)
			f.signal(h, syscall.SIGTERM)
			f.sleep(fabricNotes)
			f.spray(h.Name)
			assert.NilError(t, f.running[h.Name].Wait())
			f.start(h)
		}
		f.sleep(betweenTime)
		f.spray("")
		f.sleep(betweenTime)
	}
	f.finish()
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "hsentry")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/hsentry")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	estate := &Estate{Pools: Pools(), Services: Services()}
	w, err := NewWorld(context.Background(), WorldConfig{Estate: estate, Seed: 1, Net: NetByte(0), Scale: 1})
	assert.NilError(t, err)
	f := &fleet{t: t, w: w, estate: estate, binary: binary, running: map[string]*exec.Cmd{}}
	t.Cleanup(f.close)
	estate.AddTargets("a", w.NextTarget)
	estate.AddHosts("a", demoHosts, w.NextHost)
	for _, m := range estate.Targets {
		assert.NilError(t, w.StartTarget(m))
	}
	_, err = w.Publish()
	assert.NilError(t, err)
	for _, h := range estate.Hosts {
		f.start(h)
	}
	f.sleep(betweenTime)
	f.spray("")
	return f
}

func (f *fleet) start(h Machine) {
	f.t.Helper()
	cmd := exec.Command(f.binary, "--name="+h.Name, "--address="+h.Address.String(), "--zone="+h.Zone,
		"--platform="+f.w.PlatformURL(), "--fabric="+f.w.fabric.String(), "--key="+labKey, "--admin="+h.Address.String()+":6084")
	cmd.Stderr = os.Stderr
	assert.NilError(f.t, cmd.Start())
	f.running[h.Name] = cmd
}

func (f *fleet) signal(h Machine, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.running[h.Name].Process.Signal(s))
}

// stop ends a process with a signal. The fabric stops sending to the host only
// after fabricNotes.
func (f *fleet) stop(h Machine, s syscall.Signal) {
	f.signal(h, s)
	_ = f.running[h.Name].Wait()
	f.sleep(fabricNotes)
	f.spray(h.Name)
}

// spray makes the fabric send packets to all hosts except the named one.
func (f *fleet) spray(without string) {
	var hosts []Machine
	for _, h := range f.estate.Hosts {
		if h.Name != without {
			hosts = append(hosts, h)
		}
	}
	f.w.SprayMachines(hosts)
}

func (f *fleet) sleep(d time.Duration) {
	assert.NilError(f.t, pause(f.w.ctx, d))
}

// finish stops the callers and checks the verdict.
func (f *fleet) finish() {
	d := &demo{w: f.w, estate: f.estate, cfg: DemoConfig{Report: &JSONReporter{W: os.Stdout}}}
	assert.NilError(f.t, d.finish(f.w.ctx))
	d.cfg.Report.Verdict(&d.verdict)
	for _, n := range d.verdict.Total.Notes {
		f.t.Log(n)
	}
	assert.Assert(f.t, d.verdict.Kept())
}

// close kills the processes that still run and closes the World.
func (f *fleet) close() {
	for _, cmd := range f.running {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	assert.Check(f.t, f.w.Close())
}
