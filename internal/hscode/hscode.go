// Package hscode defines the numbered result codes of the project. Each refused
// or dropped packet and each rejected input has one. The numbers are part of
// the product's interface: they are never reused or renumbered.
package hscode

import (
	"errors"
	"fmt"
	"strings"
)

type (
	// Code is a numbered result code.
	Code uint16

	// Info describes a code to operators.
	Info struct {
		Code Code
		// Short name: lower-case words joined by hyphens.
		Name string
		// What happened, in one sentence.
		Text string
		// What an operator should do about it.
		Hint string
	}

	// Error is an error with a code, about one place in an input.
	Error struct {
		Code Code
		// Place in the input, for example services[2].port or the name of a
		// setting.
		Path string
		// What is wrong there; at most maxDetail bytes.
		Detail string
	}

	// Errors lists all errors of one input.
	Errors []*Error
)

// The first digit is the group: 1xxx manifest, 2xxx settings, 3xxx packets,
// 4xxx flows, 5xxx peers (other entry hosts), 6xxx platform, 7xxx process.
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
	FlowEvacuated     Code = 4019
	FlowTargetLost    Code = 4020
	FlowAlreadyOpen   Code = 4021

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

	PlatformHistory   Code = 6004
	PlatformEntry     Code = 6005
	PlatformOlder     Code = 6006
	PlatformDuplicate Code = 6007
	PlatformService   Code = 6008

	ProcessSocket Code = 7001
	ProcessPaused Code = 7002
	ProcessSend   Code = 7003
	ProcessReload Code = 7004
)

// maxDetail is the maximum size of Error.Detail in bytes. Errors of decoders quote
// values from outside, which may have any size, and thousands of them are kept
// until they are logged.
const maxDetail = 512

// Table describes all codes, in ascending order.
var Table = []Info{
	{OK, "ok", "Success.", "Nothing."},
	{ManifestSyntax, "manifest-syntax", "The manifest is not valid JSON or does not match the schema.", "Generate the manifest again; the detail names the place."},
	{ManifestVersion, "manifest-version", "The version of the manifest is zero.", "Number manifests upward from 1."},
	{ManifestMissing, "manifest-missing", "A required field is empty.", "Set the field that the path names."},
	{ManifestDuplicate, "manifest-duplicate", "A name or address occurs twice.", "Rename or remove one of the two."},
	{ManifestAddress, "manifest-address", "An address is not a usable unicast IP address.", "Write an IPv4 or IPv6 unicast address without zone or prefix length."},
	{ManifestReference, "manifest-reference", "A name refers to an object that the manifest does not declare.", "Declare the object, or correct the name."},
	{ManifestRange, "manifest-range", "A number is outside its range.", "See the detail for the range."},
	{ManifestWord, "manifest-word", "The value of a field is not one of the allowed words.", "Use one of the words in the detail."},
	{ManifestOverlap, "manifest-overlap", "Two services share address, port and protocol.", "Give each service a combination of its own."},
	{ManifestSize, "manifest-size", "The manifest exceeds the maximum size of a value on the platform.", "Split the users over several manifests."},
	{ManifestStale, "manifest-stale", "A manifest older than the one in force was received and ignored.", "Look for a stale replica of the platform."},
	{ManifestConflict, "manifest-conflict", "One version was published with two different contents.", "Publish a new version; until then, hosts use the content with the higher digest."},
	{SettingMissing, "setting-missing", "A required setting is not set.", "Set the flag, the environment variable or the field of the settings file that the message names."},
	{SettingValue, "setting-value", "A setting cannot be parsed.", "Correct the value; the detail describes the expected form."},
	{SettingRange, "setting-range", "A setting is outside its range.", "See the detail for the range."},
	{SettingExposed, "setting-exposed", "A listener without encryption was requested on an address other than loopback.", "Bind the listener to a loopback address."},
	{SettingFile, "setting-file", "The settings file cannot be read.", "Check that the file exists and is valid; a running process keeps its current settings."},
	{PacketShort, "packet-short", "A packet is shorter than its headers.", "Look for truncation between fabric and entry host."},
	{PacketVersion, "packet-version", "The tunnel or IP version is unknown.", "Check the fabric's tunnel settings."},
	{PacketOption, "packet-option", "A tunnel option is malformed, or it is critical and unknown.", "Check that all entry hosts run compatible releases."},
	{PacketInner, "packet-inner", "The header of the inner packet is malformed.", "Find out which caller or target sends such packets."},
	{PacketFragment, "packet-fragment", "The inner packet is a fragment.", "Set the fabric's path MTU so that callers do not fragment."},
	{PacketLength, "packet-length", "Length fields of the packet contradict one another.", "Find out which caller or target sends such packets."},
	{PacketChecksum, "packet-checksum", "A checksum of the inner packet is wrong.", "Look for a faulty link or offload setting."},
	{PacketProtocol, "packet-protocol", "The inner protocol is neither TCP nor UDP.", "Nothing, unless callers depend on it."},
	{PacketNested, "packet-nested", "The inner packet is a tunnel packet itself.", "Look for a routing loop."},
	{PacketOversize, "packet-oversize", "The packet exceeds the maximum size.", "Lower the MTU towards the entry hosts."},
	{FlowNoService, "flow-no-service", "No service has the packet's address, port and protocol.", "Check the manifest and the announced addresses."},
	{FlowNoTarget, "flow-no-target", "The service has no target that accepts new flows.", "Add live targets."},
	{FlowTargetGone, "flow-target-gone", "The flow's target is no longer in the manifest.", "Keep targets in the manifest as leaving until they have drained."},
	{FlowDenied, "flow-denied", "No candidate target holds the flow; the caller was sent a reset.", "Nothing, if the target or the caller had closed the connection."},
	{FlowAmbiguous, "flow-ambiguous", "A datagram of a non-idempotent service could belong to a flow of several targets, or of one that is leaving; it was refused.", "Nothing; datagrams pass again as soon as the owners of the targets know their flows."},
	{FlowFull, "flow-full", "Both candidate targets of a new flow have all their connections in use; the flow was refused.", "Add targets, or raise their number of connections."},
	{FlowTableFull, "flow-table-full", "The flow table of the host is full; a flow was refused.", "Raise the flows setting or add entry hosts."},
	{FlowLate, "flow-late", "A target's packet of an earlier connection with the same addresses was dropped.", "Nothing."},
	{FlowForeign, "flow-foreign", "A target sent a packet for a service that it does not serve.", "Check the target's addresses."},
	{FlowPaused, "flow-paused", "An opening packet was dropped after a pause of the process: it had waited too long, or the host's state may be outdated.", "Find out what paused the process."},
	{FlowHeldFull, "flow-held-full", "Too many packets or flows wait for recovery; a packet was dropped.", "Look for crashed entry hosts; callers retransmit the packet."},
	{FlowTrialReset, "flow-trial-reset", "A target's reset in answer to a trial packet was not forwarded to the caller; a trial tests whether the target holds a flow.", "Nothing."},
	{FlowHops, "flow-hops", "A packet was forwarded between entry hosts too often.", "Compare the versions in force on the hosts."},
	{FlowTooOld, "flow-too-old", "A datagram that had waited while the process was paused was dropped.", "Find out what paused the process."},
	{FlowAddressMoved, "flow-address-moved", "The flow's address now belongs to another service and no owner knows the flow; the flow was refused.", "Keep the previous service in the manifest until its flows have ended."},
	{FlowUnanswered, "flow-unanswered", "A target did not answer the packets of a flow; the caller was sent nothing and may retry.", "Look for unreachable targets or zones."},
	{FlowUnknownCookie, "flow-unknown-cookie", "A packet of an open flow carries a cookie that matches no target of its route; it was dropped.", "Look for targets that left the store early, or for forged packets."},
	{FlowOverload, "flow-overload", "No target had capacity for the flow in time; the opening packet was refused and no request was run.", "Add targets, or find out what keeps their slots in use."},
	{FlowEvacuated, "flow-evacuated", "All targets of the service are in zones that are being evacuated; the opening packet was refused and no request was run. Or the packet repeats the opening one of an open flow in such a zone, and was dropped.", "End an evacuation, or add targets in other zones."},
	{FlowTargetLost, "flow-target-lost", "The flow's target no longer exists; the flow was reset so that its caller can open another.", "Find out why the target ended without draining."},
	{FlowAlreadyOpen, "flow-already-open", "An opening packet was repeated, or held, although its flow is open by now, through another host or at a target of a service that the route no longer leads to; the packet was dropped.", "Nothing; the flow goes on."},
	{PeerUnknown, "peer-unknown", "A message between entry hosts came from an address that is not a listed host.", "Look for a host that is not listed, or for a sender of forged packets."},
	{PeerMAC, "peer-mac", "The MAC of a control message is wrong.", "Compare the key settings of the hosts."},
	{PeerMessage, "peer-message", "A control message cannot be decoded, or an event in it is invalid and was ignored.", "Check that releases are compatible."},
	{PeerHandover, "peer-handover", "Flows could not be handed over to their new owner, which recovers them one by one.", "Check the peer port between hosts."},
	{PeerFetch, "peer-fetch", "The manifest or later changes could not be fetched from another entry host.", "Check the peer port between hosts."},
	{PeerOldBoot, "peer-old-boot", "A message from an earlier boot of an entry host was dropped.", "Nothing."},
	{PeerGap, "peer-gap", "Changes from another entry host start at a later revision than this host has reached; the missing ones were requested.", "Nothing, unless it lasts for several seconds."},
	{PlatformRead, "platform-read", "The platform could not be read.", "Check the platform; the current state stays in force."},
	{PlatformStatus, "platform-status", "The platform answered with an unexpected HTTP status.", "Check the platform setting."},
	{PlatformSize, "platform-size", "The platform's answer exceeds the size limit.", "See manifest-size."},
	{PlatformHistory, "platform-history", "The store no longer has the changes that a watch requested, or they are too large to be read at once; the whole state was read again.", "Nothing."},
	{PlatformEntry, "platform-entry", "An entry of the store cannot be decoded or has a value that is out of range; it is not used.", "Find out which program wrote it; the path is its key."},
	{PlatformOlder, "platform-older", "The store has a configuration that is older than the current one, or lacks the evacuation of a zone; the current state stays: the store was restored from a copy.", "Publish the current configuration again, or a newer one; write the evacuation again, or write and remove it."},
	{PlatformDuplicate, "platform-duplicate", "Two entries of the store have the same target ID; one of them is not used.", "Find out which program wrote the entry that the path names, and remove it if the target did not."},
	{PlatformService, "platform-service", "The configuration does not name the service of a target's entry; the entry is not used until it does.", "Publish a configuration with the service, or find out which program wrote the entry that the path names."},
	{ProcessSocket, "process-socket", "A socket could not be opened or used.", "Check address and port settings, and which other programs run on the host."},
	{ProcessPaused, "process-paused", "The process was paused for longer than its limit, such as the lease setting.", "Find out what paused the process."},
	{ProcessSend, "process-send", "A packet could not be sent.", "Check routes and socket buffer sizes."},
	{ProcessReload, "process-reload", "The settings were read again.", "Nothing."},
}

// Lookup returns the entry of c in Table, or an entry with the name unknown.
func Lookup(c Code) Info {
	for _, e := range Table {
		if e.Code == c {
			return e
		}
	}
	return Info{Code: c, Name: "unknown"}
}

// String returns the number and name, for example "4004 flow-denied".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint16(c), Lookup(c).Name)
}

// New returns an error with code c about path; format and args form its detail,
// which is cut to maxDetail.
func New(c Code, path, format string, args ...any) *Error {
	detail := fmt.Sprintf(format, args...)
	if len(detail) > maxDetail {
		detail = strings.ToValidUTF8(strings.Clone(detail[:maxDetail]), "")
	}
	return &Error{Code: c, Path: path, Detail: detail}
}

// Of returns the code of err, or fallback if err has none.
func Of(err error, fallback Code) Code {
	var codeErr *Error
	if errors.As(err, &codeErr) {
		return codeErr.Code
	}
	return fallback
}

// Error implements error. The text has the form "code name: path: detail".
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Code, e.Path, e.Detail)
}

// Error implements error. The text has one error per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}
