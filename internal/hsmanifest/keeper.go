package hsmanifest

import "heatherstack.org/heatherstack/internal/hscode"

// Keeper decides which manifest is in force. Versions only rise. All hosts
// with the same offers, in any order, end with the same manifest.
type Keeper struct {
	// Nil until the first manifest.
	current *Manifest
	history History
}

// Current returns the manifest in force and its history; both may be nil.
func (k *Keeper) Current() (*Manifest, History) {
	return k.current, k.history
}

// Offer takes a manifest that was read from the platform or a peer, with the
// history that the peer had, if any. It reports whether the manifest or its
// history in force changed.
//
// One version with two contents is an error of the publisher. The content with
// the higher digest is kept, which needs no talk between hosts.
func (k *Keeper) Offer(m *Manifest, h History) (bool, hscode.Code) {
	if k.current == nil {
		k.current = m
		k.history = History{}.Extend(m).Merge(h)
		return true, hscode.OK
	}
	switch {
	case m.Version < k.current.Version:
		return false, hscode.ManifestStale
	case m.Version == k.current.Version && m.Digest == k.current.Digest:
		return k.mergeHistory(h), hscode.OK
	case m.Version == k.current.Version && m.Digest < k.current.Digest:
		return false, hscode.ManifestConflict
	}
	code := hscode.OK
	if m.Version == k.current.Version {
		code = hscode.ManifestConflict
	}
	k.history = k.history.Extend(m).Merge(h)
	k.current = m
	return true, code
}

// mergeHistory adds a peer's history of the version in force.
func (k *Keeper) mergeHistory(h History) bool {
	if h == nil {
		return false
	}
	merged := k.history.Merge(h)
	changed := merged.Digest() != k.history.Digest()
	k.history = merged
	return changed
}
