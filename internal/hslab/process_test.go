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
	processFabricDelay = time.Second
	stepInterval       = 3 * time.Second
)

// fleet is six hsentry processes that serve simulated callers and targets.
type fleet struct {
	t          *testing.T
	bed        *Testbed
	deployment *Deployment
	binary     string
	// By host name.
	running map[string]*exec.Cmd
}

// TestProcesses kills, pauses or stops one real hsentry process after another,
// by process id, and then restarts or resumes it, while callers send requests.
func TestProcesses(t *testing.T) {
	if !*processes {
		t.Skip("set -processes")
	}
	f := newFleet(t)
	f.bed.StartCallers(time.Second)
	f.sleep(stepInterval)
	for i, h := range f.deployment.Hosts {
		switch i % 3 {
		case 0:
			t.Logf("SIGKILL %s, restart after %s", h.Name, stepInterval)
			f.stop(h, syscall.SIGKILL)
			f.sleep(stepInterval)
			f.start(h)
		case 1:
			t.Logf("SIGSTOP %s for %s", h.Name, pauseTime)
			f.signal(h, syscall.SIGSTOP)
			f.sleep(processFabricDelay)
			f.setNextHops(h.Name)
			f.sleep(pauseTime - processFabricDelay)
			f.signal(h, syscall.SIGCONT)
		case 2:
			t.Logf("SIGTERM %s, restart", h.Name)
			f.signal(h, syscall.SIGTERM)
			f.sleep(processFabricDelay)
			f.setNextHops(h.Name)
			assert.NilError(t, f.running[h.Name].Wait())
			f.start(h)
		}
		f.sleep(stepInterval)
		f.setNextHops("")
		f.sleep(stepInterval)
	}
	f.finish()
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "hsentry")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/hsentry")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	deployment := &Deployment{Pools: DefaultPools(), Services: DefaultServices()}
	bed, err := NewTestbed(context.Background(), TestbedConfig{Deployment: deployment, Seed: 1, Subnet: ChooseSubnet(0), Scale: 1})
	assert.NilError(t, err)
	f := &fleet{t: t, bed: bed, deployment: deployment, binary: binary, running: map[string]*exec.Cmd{}}
	t.Cleanup(f.close)
	deployment.AddTargets("a", bed.NextTargetAddr)
	deployment.AddHosts("a", demoHosts, bed.NextHostAddr)
	for _, m := range deployment.Targets {
		assert.NilError(t, bed.StartTarget(m))
	}
	_, err = bed.Publish()
	assert.NilError(t, err)
	for _, h := range deployment.Hosts {
		f.start(h)
	}
	f.sleep(stepInterval)
	f.setNextHops("")
	return f
}

func (f *fleet) start(h Machine) {
	f.t.Helper()
	cmd := exec.Command(f.binary, "--name="+h.Name, "--address="+h.Address.String(), "--zone="+h.Zone,
		"--platform="+f.bed.PlatformURL(), "--fabric="+f.bed.fabricAddr.String(), "--key="+testKey, "--admin="+h.Address.String()+":6084")
	cmd.Stderr = os.Stderr
	assert.NilError(f.t, cmd.Start())
	f.running[h.Name] = cmd
}

func (f *fleet) signal(h Machine, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.running[h.Name].Process.Signal(s))
}

// stop ends a process with a signal. The fabric stops sending to the host only
// after processFabricDelay.
func (f *fleet) stop(h Machine, s syscall.Signal) {
	f.signal(h, s)
	_ = f.running[h.Name].Wait()
	f.sleep(processFabricDelay)
	f.setNextHops(h.Name)
}

// setNextHops makes the fabric send packets to all hosts except the named one.
func (f *fleet) setNextHops(except string) {
	var hosts []Machine
	for _, h := range f.deployment.Hosts {
		if h.Name != except {
			hosts = append(hosts, h)
		}
	}
	f.bed.SetNextHopMachines(hosts)
}

func (f *fleet) sleep(d time.Duration) {
	assert.NilError(f.t, sleep(f.bed.ctx, d))
}

// finish stops the callers and checks the verdict.
func (f *fleet) finish() {
	d := &demo{bed: f.bed, deployment: f.deployment, cfg: DemoConfig{Reporter: &JSONReporter{W: os.Stdout}}}
	assert.NilError(f.t, d.finish(f.bed.ctx))
	d.cfg.Reporter.Verdict(&d.verdict)
	for _, reason := range d.verdict.Total.BreakReasons {
		f.t.Log(reason)
	}
	assert.Assert(f.t, d.verdict.Passed())
}

// close kills the processes that still run and ends all tasks.
func (f *fleet) close() {
	for _, cmd := range f.running {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	assert.Check(f.t, f.bed.Close())
}
