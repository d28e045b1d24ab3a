package hsmanifest

import "heatherstack.org/heatherstack/internal/hscode"

// Selector selects the current manifest among those that are offered to it. The
// version never decreases. All hosts that are offered the same manifests, in
// any order, select the same one.
type Selector struct {
	// Nil until the first manifest.
	current *Manifest
	history History
}

// Current returns the current manifest and its history, or nil for both before
// the first manifest.
func (s *Selector) Current() (*Manifest, History) {
	return s.current, s.history
}

// Offer handles a manifest that was read from the platform, for which h is nil,
// or from a peer together with the peer's history h. It reports whether the
// current manifest or its history changed.
//
// If one version was published with two contents, which is an error of the
// publisher, Offer selects the content with the higher digest, so that all
// hosts select the same one without coordination.
func (s *Selector) Offer(m *Manifest, h History) (bool, hscode.Code) {
	if s.current == nil {
		s.current = m
		s.history = History{}.Extend(m).Merge(h)
		return true, hscode.OK
	}
	switch {
	case m.Version < s.current.Version:
		return false, hscode.ManifestStale
	case m.Version == s.current.Version && m.Digest == s.current.Digest:
		return s.mergeHistory(h), hscode.OK
	case m.Version == s.current.Version && m.Digest < s.current.Digest:
		return false, hscode.ManifestConflict
	}
	code := hscode.OK
	if m.Version == s.current.Version {
		code = hscode.ManifestConflict
	}
	s.history = s.history.Extend(m).Merge(h)
	s.current = m
	return true, code
}

// mergeHistory merges a peer's history of the current manifest. It reports
// whether the history changed.
func (s *Selector) mergeHistory(h History) bool {
	if h == nil {
		return false
	}
	merged := s.history.Merge(h)
	changed := merged.Digest() != s.history.Digest()
	s.history = merged
	return changed
}
