package hsmanifest

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherstack.org/heatherstack/internal/hscode"
)

func readExample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("testdata/example.json")
	assert.NilError(t, err)
	return string(data)
}

func mustParse(t testing.TB, text string) *Manifest {
	t.Helper()
	m, errs := Parse([]byte(text))
	assert.Assert(t, errs == nil, "%v", errs)
	return m
}

// TestFaults changes a valid manifest in several ways and compares the errors
// that each change causes with the golden file.
func TestFaults(t *testing.T) {
	good := readExample(t)
	mustParse(t, good)
	var b strings.Builder
	for _, c := range []struct{ old, next string }{
		{`"version": "7"`, `"version": "0"`},
		{`"version": "7"`, `"version": -1`},
		{`"version": "7"`, `"versions": 7`},
		{`"name": "race"`, `"name": ""`},
		{`"address": "198.51.100.1"`, `"address": "198.51.100.300"`},
		{`"address": "198.51.100.1"`, `"address": "239.1.1.1"`},
		{`"protocol": "tcp"`, `"protocol": "sctp"`},
		{`"class": "urgent"`, `"class": "asap"`},
		{`"port": 443`, `"port": 70000`},
		{`"targets": ["desk-1", "desk-2"]`, `"targets": ["desk-1", "desk-1", "desk-9"]`},
		{`"user": "race"`, `"user": "nobody"`},
		{`"state": "leaving"`, `"state": "gone"`},
		{`"name": "desk-2"`, `"name": "desk-1"`},
		{`"address": "10.1.0.2"`, `"address": "10.1.0.1"`},
		{`"address": "10.0.0.1"`, `"address": "10.1.0.1"`},
		{`"slots": 3`, `"slots": 0`},
		{`"port": 53`, `"port": 443`},
		{`{`, `[`},
	} {
		assert.Assert(t, strings.Contains(good, c.old), c.old)
		fmt.Fprintf(&b, "%s -> %s\n", c.old, c.next)
		_, errs := Parse([]byte(strings.Replace(good, c.old, c.next, 1)))
		for _, e := range errs {
			fmt.Fprintf(&b, "    %s\n", e.Error())
		}
	}
	golden.Assert(t, b.String(), "faults.golden")
	_, errs := Parse(make([]byte, MaxSize+1))
	assert.Equal(t, errs[0].Code, hscode.ManifestSize)
}

// exampleVersion returns the example manifest with version n, in which the
// named targets are leaving and all others live.
func exampleVersion(t testing.TB, n int, leaving ...string) *Manifest {
	t.Helper()
	text := strings.Replace(readExample(t), `"version": "7"`, fmt.Sprintf(`"version": "%d"`, n), 1)
	text = strings.Replace(text, `"leaving"`, `"live"`, 1)
	for _, name := range leaving {
		at := strings.Index(text, `"name": "`+name+`"`)
		text = text[:at] + strings.Replace(text[at:], `"live"`, `"leaving"`, 1)
	}
	return mustParse(t, text)
}

// TestSelector checks that an older version is rejected, and that two hosts
// that receive two contents of one version in different order select the same
// one.
func TestSelector(t *testing.T) {
	older, newer := exampleVersion(t, 7), exampleVersion(t, 8)
	var first Selector
	changed, code := first.Offer(newer, nil)
	assert.Assert(t, changed && code == hscode.OK)
	changed, code = first.Offer(older, nil)
	assert.Assert(t, !changed && code == hscode.ManifestStale)
	changed, code = first.Offer(newer, nil)
	assert.Assert(t, !changed && code == hscode.OK)

	other := exampleVersion(t, 8, "desk-1")
	var second Selector
	second.Offer(other, nil)
	_, code = second.Offer(newer, nil)
	assert.Equal(t, code, hscode.ManifestConflict)
	_, code = first.Offer(other, nil)
	assert.Equal(t, code, hscode.ManifestConflict)
	firstManifest, _ := first.Current()
	secondManifest, _ := second.Current()
	assert.Equal(t, firstManifest.Digest, secondManifest.Digest)
}

// TestHistory checks that a host that received all versions, and a host that
// received only the last version and then the history of the first host, have
// the same history.
func TestHistory(t *testing.T) {
	var full, late Selector
	full.Offer(exampleVersion(t, 1), nil)
	full.Offer(exampleVersion(t, 2, "desk-1"), nil)
	full.Offer(exampleVersion(t, 3, "desk-1", "desk-2"), nil)
	_, history := full.Current()
	gens := history["checkin"]
	assert.Equal(t, len(gens), 3)
	assert.Equal(t, gens[0].Version, uint64(2))
	assert.Equal(t, len(gens[0].Targets), 1)
	assert.Equal(t, gens[1].Version, uint64(1))
	assert.Equal(t, len(gens[1].Targets), 2)
	assert.Assert(t, gens[2].Assumed())

	late.Offer(exampleVersion(t, 3, "desk-1", "desk-2"), nil)
	changed, _ := late.Offer(exampleVersion(t, 3, "desk-1", "desk-2"), history)
	assert.Assert(t, changed)
	_, learned := late.Current()
	assert.Equal(t, learned.Digest(), history.Digest())
}
