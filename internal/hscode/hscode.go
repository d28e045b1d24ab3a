// Package hscode holds the numbered result codes of the project. Every
// refusal, drop and rejection carries one. Numbers are part of the product's
// interface: they are never reused or renumbered.
package hscode

import (
	"errors"
	"fmt"
	"strings"
)

type (
	// Code is a numbered result code.
	Code uint16

	// Entry describes one code for people.
	Entry struct {
		Code Code
		// Short lower-case name of one word or two joined by a hyphen.
		Name string
		// What happened, in one sentence.
		Text string
		// What an operator does about it.
		Hint string
	}

	// Error is a coded error about one place in an input.
	Error struct {
		Code Code
		// Place in the input, for example services[2].port or a setting's name.
		Path string
		// What was found there.
		Detail string
	}

	// Faults lists everything that is wrong with one input.
	Faults []*Error
)

// Codes 1xxx are about manifests, 2xxx settings, 3xxx packets, 4xxx flows,
// 5xxx peers, 6xxx the platform, 7xxx the process.
const (
	OK Code = 0

	ManifestSyntax    Code = 1001
	ManifestVersion   Code = 1002
	ManifestMissing   Code = 1003
	ManifestDuplicate Code = 1004
	ManifestAddress   Code = 1005
	ManifestReference Code = 1006
	ManifestRange     Code = 1007
	ManifestWord      Code = 1008
	ManifestOverlap   Code = 1009
	ManifestSize      Code = 1010
	ManifestStale     Code = 1011
	ManifestConflict  Code = 1012

	SettingMissing Code = 2001
	SettingValue   Code = 2002
	SettingRange   Code = 2003
	SettingExposed Code = 2004
	SettingFile    Code = 2005

	PacketShort    Code = 3001
	PacketVersion  Code = 3002
	PacketOption   Code = 3003
	PacketInner    Code = 3004
	PacketFragment Code = 3005
	PacketLength   Code = 3006
	PacketChecksum Code = 3007
	PacketProtocol Code = 3008
	PacketNested   Code = 3009
	PacketOversize Code = 3010

	FlowNoService    Code = 4001
	FlowNoTarget     Code = 4002
	FlowTargetGone   Code = 4003
	FlowDenied       Code = 4004
	FlowAmbiguous    Code = 4005
	FlowFull         Code = 4006
	FlowTableFull    Code = 4007
	FlowLate         Code = 4008
	FlowForeign      Code = 4009
	FlowPaused       Code = 4010
	FlowHeldFull     Code = 4011
	FlowTrialReset   Code = 4012
	FlowHops         Code = 4013
	FlowTooOld       Code = 4014
	FlowAddressMoved Code = 4015
	FlowUnanswered   Code = 4016

	FlowUnknownCookie Code = 4017
	FlowOverload      Code = 4018

	PeerUnknown  Code = 5001
	PeerMAC      Code = 5002
	PeerMessage  Code = 5003
	PeerHandover Code = 5004
	PeerFetch    Code = 5005
	PeerOldBoot  Code = 5006
	PeerGap      Code = 5007

	PlatformRead   Code = 6001
	PlatformStatus Code = 6002
	PlatformSize   Code = 6003

	PlatformHistory Code = 6004
	PlatformEntry   Code = 6005

	ProcessSocket Code = 7001
	ProcessPaused Code = 7002
	ProcessSend   Code = 7003
	ProcessReload Code = 7004
)

// Table lists all codes in rising order.
var Table = []Entry{
	{OK, "ok", "Success.", "Nothing."},
	{ManifestSyntax, "manifest-syntax", "The manifest is not valid JSON of the schema.", "Regenerate it; the detail names the place."},
	{ManifestVersion, "manifest-version", "The version is zero.", "Number manifests from 1 upward."},
	{ManifestMissing, "manifest-missing", "A required field is empty.", "Fill the field at the path."},
	{ManifestDuplicate, "manifest-duplicate", "A name or address stands twice.", "Rename or remove one of the two."},
	{ManifestAddress, "manifest-address", "An address is not a usable unicast IP address.", "Write an IPv4 or IPv6 unicast address without zone or prefix length."},
	{ManifestReference, "manifest-reference", "A name refers to nothing in the manifest.", "Declare it, or correct the name."},
	{ManifestRange, "manifest-range", "A number is outside its range.", "See the detail for the range."},
	{ManifestWord, "manifest-word", "A field holds a word outside its list.", "Use one of the words in the detail."},
	{ManifestOverlap, "manifest-overlap", "Two services share address, port and protocol.", "Give each service its own."},
	{ManifestSize, "manifest-size", "The manifest is larger than a value of the platform can be.", "Split users over several manifests."},
	{ManifestStale, "manifest-stale", "An older manifest than the one in force was offered and ignored.", "Look for a stale replica of the platform."},
	{ManifestConflict, "manifest-conflict", "One version was published with two contents.", "Publish a new version; hosts keep the one with the higher digest until then."},
	{SettingMissing, "setting-missing", "A required setting is not set.", "Set the flag or the environment variable that the path names."},
	{SettingValue, "setting-value", "A setting cannot be parsed.", "Correct the value; the detail names the form."},
	{SettingRange, "setting-range", "A setting is outside its range.", "See the detail for the range."},
	{SettingExposed, "setting-exposed", "A plain-text listener was asked for on an address other than loopback.", "Bind it to loopback."},
	{SettingFile, "setting-file", "The settings file cannot be read.", "Check that the file exists and is valid; a running process keeps the settings it has."},
	{PacketShort, "packet-short", "A packet ends before its headers do.", "Look for truncation between fabric and entry host."},
	{PacketVersion, "packet-version", "The tunnel or IP version is unknown.", "Check the fabric's tunnel settings."},
	{PacketOption, "packet-option", "A tunnel option is malformed or unknown and critical.", "Check that all entry hosts run compatible releases."},
	{PacketInner, "packet-inner", "The inner packet's header is malformed.", "Trace the caller."},
	{PacketFragment, "packet-fragment", "The inner packet is a fragment.", "Set the fabric's path MTU so that callers do not fragment."},
	{PacketLength, "packet-length", "Lengths inside the packet contradict one another.", "Trace the caller."},
	{PacketChecksum, "packet-checksum", "A checksum of the inner packet is wrong.", "Look for a faulty link or offload setting."},
	{PacketProtocol, "packet-protocol", "The inner protocol is neither TCP nor UDP.", "Nothing, unless callers depend on it."},
	{PacketNested, "packet-nested", "The inner packet is itself a tunnel to an entry host.", "Look for a routing loop."},
	{PacketOversize, "packet-oversize", "The packet exceeds the largest size handled.", "Lower the MTU towards the entry hosts."},
	{FlowNoService, "flow-no-service", "No service has the packet's address, port and protocol.", "Check the manifest and the announced addresses."},
	{FlowNoTarget, "flow-no-target", "The service has no target that takes new flows.", "Add live targets."},
	{FlowTargetGone, "flow-target-gone", "The flow's target is no longer in the manifest.", "Keep targets as leaving until drained."},
	{FlowDenied, "flow-denied", "Every candidate denied the flow; the caller was reset.", "None if the target or caller had ended the connection."},
	{FlowAmbiguous, "flow-ambiguous", "A datagram of a non-idempotent service could belong to several targets and was refused.", "It passes as soon as homes know their flows again."},
	{FlowFull, "flow-full", "Both choices have all their connections in use; the new flow was refused.", "Add targets or connections."},
	{FlowTableFull, "flow-table-full", "The host holds as many flows as it may.", "Raise the flows setting or add entry hosts."},
	{FlowLate, "flow-late", "A reply of an older connection of the same addresses was dropped.", "Nothing."},
	{FlowForeign, "flow-foreign", "A target sent a packet for a service that it does not serve.", "Check the target's addresses."},
	{FlowPaused, "flow-paused", "The process was paused; the opening packet had waited or the view was old, and no flow was placed.", "Find out what paused it."},
	{FlowHeldFull, "flow-held-full", "Too many packets wait for recovery; one was dropped.", "Callers send it again; look for crashed entry hosts."},
	{FlowTrialReset, "flow-trial-reset", "A reset that answered a trial was swallowed.", "Nothing."},
	{FlowHops, "flow-hops", "A packet was forwarded too often.", "Compare versions in force on the hosts."},
	{FlowTooOld, "flow-too-old", "A datagram waited in a paused process and was dropped.", "Find out what paused it."},
	{FlowAddressMoved, "flow-address-moved", "The flow's address belongs to another service now and no home knows the flow; it was reset.", "Keep the earlier service in the manifest until its flows have ended."},
	{FlowUnanswered, "flow-unanswered", "A candidate neither denied nor answered; the caller was told nothing and may try again.", "Look for targets or zones that cannot be reached."},
	{FlowUnknownCookie, "flow-unknown-cookie", "A packet in the middle of a flow carries a cookie that names no target of its route.", "Look for targets that left the store early, or for forged packets."},
	{FlowOverload, "flow-overload", "No target could serve the flow in time; the opening packet was reset and nothing has run.", "Add targets, or look for what holds their slots."},
	{PeerUnknown, "peer-unknown", "A steering or control packet came from an address outside the manifest's host list.", "Look for a spoofing sender or a missing host."},
	{PeerMAC, "peer-mac", "A control message's MAC is wrong.", "Compare the key setting of the hosts."},
	{PeerMessage, "peer-message", "A control message cannot be decoded.", "Check that releases are compatible."},
	{PeerHandover, "peer-handover", "A handover call failed and will be tried again.", "Check the peer port between hosts."},
	{PeerFetch, "peer-fetch", "Fetching a manifest from a peer failed.", "Check the peer port between hosts."},
	{PeerOldBoot, "peer-old-boot", "A message of an earlier boot of a host was dropped.", "Nothing."},
	{PeerGap, "peer-gap", "A peer sent changes that follow on a revision not reached here; the rest was asked for.", "Nothing, unless it goes on for seconds."},
	{PlatformRead, "platform-read", "The platform could not be read.", "Check the platform; the view in force stays."},
	{PlatformStatus, "platform-status", "The platform answered with an unexpected status.", "Check the platform setting."},
	{PlatformSize, "platform-size", "The platform's value is too large.", "See manifest-size."},
	{PlatformHistory, "platform-history", "The store has dropped the history that a watch asked for; everything was read anew.", "Nothing."},
	{PlatformEntry, "platform-entry", "An entry of the store cannot be read and was left out.", "Find out who wrote it; the detail names the key."},
	{ProcessSocket, "process-socket", "A socket could not be opened.", "Check address and port settings, and what else runs on the host."},
	{ProcessPaused, "process-paused", "The process did not run for longer than its lease.", "Find out what paused it."},
	{ProcessSend, "process-send", "A packet could not be sent.", "Check routes and buffer sizes."},
	{ProcessReload, "process-reload", "The settings were read again.", "Nothing."},
}

// Lookup returns the table's entry of c, or an entry named unknown.
func Lookup(c Code) Entry {
	for _, e := range Table {
		if e.Code == c {
			return e
		}
	}
	return Entry{Code: c, Name: "unknown"}
}

// String returns the number and name, for example "4004 flow-denied".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint16(c), Lookup(c).Name)
}

// New returns a coded error about path.
func New(c Code, path, format string, args ...any) *Error {
	return &Error{Code: c, Path: path, Detail: fmt.Sprintf(format, args...)}
}

// Of returns the code of an error, or otherwise if it carries none.
func Of(err error, otherwise Code) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return otherwise
}

// Error implements error as "code name: path: detail".
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Code, e.Path, e.Detail)
}

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, e := range f {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
