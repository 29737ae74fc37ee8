package gossiper

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// maxDatagramBytes bounds one encoded message; a longer one is not sent.
	maxDatagramBytes = 32 << 10
	// maxMembers bounds the members in one message.
	maxMembers = 500
	// maxCrashesPerMessage bounds the crash reports in one message.
	maxCrashesPerMessage = 16
	// maxReceivedCrashes bounds the received crash reports that are remembered.
	maxReceivedCrashes = 1024
	// maxAgeMS bounds the times in a message, so that they can be computed with.
	maxAgeMS = 1 << 40
	// crashSends is how often a crash report is sent, in case datagrams are lost.
	crashSends = 3
	// crashRepeatInterval is how often a report with several losses is sent after that.
	crashRepeatInterval = 2 * time.Second
)

// messageKind says what its sender is to the receiver.
type messageKind string

const (
	// kindMember is a message between members.
	kindMember messageKind = "Member"
	// kindSubscribe requests updates from a relay.
	kindSubscribe messageKind = "Subscribe"
	// kindUpdate is what a relay sends to its subscribers.
	kindUpdate messageKind = "Update"
	// kindAsk requests one update from a member.
	kindAsk messageKind = "Ask"
)

// message is the content of one datagram, in CBOR.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	From        egretflow.InstanceName
	Incarnation uint64
	Sequence    uint64
	// Leaving reports whether the sender shuts down.
	Leaving bool
	// Domain and ProcessorShare are those of the sender.
	Domain         egretflow.FailureDomain
	ProcessorShare float64
	// Subscribers is the number of instances that the sender updates. Instances is
	// the size of the fleet, as counted by the member with rank 0; 0 if unknown.
	Subscribers int
	Instances   int
	// StoreFailing reports whether the store refuses the sender.
	StoreFailing  bool
	Configuration configurationState
	Confirmed     confirmation
	Hints         egretflow.ServerHints
	Crashes       []crash
	// Members lists the live members; subscriptions have none.
	Members []wireMember
}

// wireMember is a live member.
type wireMember struct {
	_              struct{} `cbor:",toarray"`
	Name           egretflow.InstanceName
	Address        netip.AddrPort
	Domain         egretflow.FailureDomain
	ProcessorShare float64
}

// configurationState is the configuration of the sender, with the age of its last
// confirmation instead of its time, because the clocks of instances differ. Version is 0
// without a configuration; without a confirmation, AgeMS is negative or By empty.
type configurationState struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	AgeMS   int64
	By      egretflow.InstanceName
}

// confirmation is an egretflow.Confirmation of the servers with its age instead of its
// time. AgeMS is negative if there is none.
type confirmation struct {
	_       struct{} `cbor:",toarray"`
	Servers uint64
	Version egretflow.StoreVersion
	AgeMS   int64
	Deltas  []egretflow.ServersDelta
}

// crash is a crash report with the remaining time instead of its end, because the
// clocks of instances differ.
type crash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Servers     []egretflow.ServerName
	LeftMS      int64
	Part        bool
	Shared      bool
}

// encoding keeps the milliseconds of times, because the fingerprint of the servers
// covers them.
var encoding = sync.OnceValues(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode)

// encode encodes a message.
func encode(m *message) ([]byte, error) {
	mode, err := encoding()
	if err != nil {
		return nil, errors.Wrap(err, "create encoding")
	}
	data, err := mode.Marshal(m)
	return data, errors.Wrap(err, "encode datagram")
}

// decode decodes and checks a datagram.
func decode(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	if err := m.check(); err != nil {
		return nil, errors.Wrap(err, "check datagram")
	}
	return &m, nil
}

func (m *message) check() error {
	if err := egretflow.CheckName("From", string(m.From)); err != nil {
		return err
	}
	switch m.Kind {
	case kindMember, kindSubscribe, kindUpdate, kindAsk:
	default:
		return &egretflow.FieldError{Field: "Kind", Reason: "is unknown"}
	}
	if len(m.Members) > maxMembers || len(m.Crashes) > maxCrashesPerMessage || m.Subscribers < 0 || m.Instances < 0 {
		return &egretflow.FieldError{Field: "Members", Reason: "has a count out of range"}
	}
	tooLong := func(c crash) bool { return c.LeftMS > maxAgeMS || c.LeftMS < -maxAgeMS }
	if m.Confirmed.AgeMS > maxAgeMS || m.Configuration.AgeMS > maxAgeMS || slices.ContainsFunc(m.Crashes, tooLong) {
		return &egretflow.FieldError{Field: "Confirmed", Reason: "has a time out of range"}
	}
	if m.Configuration.By != "" {
		if err := egretflow.CheckName("By", string(m.Configuration.By)); err != nil {
			return err
		}
	}
	for n := range m.Members {
		if err := checkMember(m.Members[n].Name, m.Members[n].Address); err != nil {
			return err
		}
	}
	return nil
}

// checkMember returns an error for a member that messages must not list.
func checkMember(name egretflow.InstanceName, address netip.AddrPort) error {
	if err := egretflow.CheckName("Members", string(name)); err != nil {
		return err
	}
	if !address.IsValid() {
		return &egretflow.FieldError{Field: "Members", Reason: "has no address"}
	}
	return nil
}

func (w *wireMember) member(now time.Time) egretflow.Member {
	return egretflow.Member{
		Name: w.Name, Address: w.Address, FailureDomain: w.Domain, ProcessorShare: w.ProcessorShare,
		State: egretflow.MemberStateLive, HeardAt: now,
	}
}

func toWireMember(m egretflow.Member) wireMember {
	return wireMember{Name: m.Name, Address: m.Address, Domain: m.FailureDomain, ProcessorShare: m.ProcessorShare}
}

func toConfirmation(c egretflow.Confirmation, at, now time.Time) confirmation {
	if at.IsZero() {
		return confirmation{AgeMS: -1}
	}
	return confirmation{Servers: c.Servers, Version: c.Version, AgeMS: now.Sub(at).Milliseconds(), Deltas: c.Deltas}
}

// toConfigurationState returns the state of a configuration that was confirmed at a time
// by an instance.
func toConfigurationState(version uint64, at time.Time, by egretflow.InstanceName, now time.Time) configurationState {
	if at.IsZero() {
		return configurationState{Version: version, AgeMS: -1}
	}
	return configurationState{Version: version, AgeMS: max(0, now.Sub(at).Milliseconds()), By: by}
}

// state returns what the sender knew of the configuration.
func (c *configurationState) state(now time.Time) egretflow.ConfigurationState {
	s := egretflow.ConfigurationState{Version: c.Version}
	if c.AgeMS >= 0 && c.By != "" {
		s.ConfirmedAt, s.ConfirmedBy = now.Add(-time.Duration(c.AgeMS)*time.Millisecond), c.By
	}
	return s
}

// confirmation returns what a message says of the platform. Its ReadAt is zero if that is
// nothing about the servers.
func (m *message) confirmation(now time.Time) egretflow.Confirmation {
	c := egretflow.Confirmation{From: m.From, Configuration: m.Configuration.state(now)}
	if m.Confirmed.AgeMS < 0 {
		return c
	}
	at := now.Add(-time.Duration(m.Confirmed.AgeMS) * time.Millisecond)
	c.Servers, c.Version, c.ReadAt, c.ConfirmedAt, c.Deltas = m.Confirmed.Servers, m.Confirmed.Version, at, at, m.Confirmed.Deltas
	return c
}

// crashReports converts received crash reports; their remaining time counts from now.
func crashReports(crashes []crash, now time.Time) []egretflow.CrashReport {
	reports := make([]egretflow.CrashReport, len(crashes))
	for n, c := range crashes {
		reports[n] = egretflow.CrashReport{
			Fingerprint: c.Fingerprint, Part: c.Part, Shared: c.Shared, ExpiresAt: now.Add(time.Duration(c.LeftMS) * time.Millisecond),
		}
		reports[n].SetNames(c.Servers)
	}
	return reports
}
