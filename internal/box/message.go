// Package box implements the protocol between boxes: CBOR messages over QUIC, or over HTTP on
// trusted networks.
//
// A call opens a stream, sends a Request and reads one or more Replies. Every message carries the
// revisions of the configuration that its sender knows, and every request its sender's name.
package box

import (
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/ratelimit"
	"github.com/linetiller/linetiller/internal/resource"
)

// Kind is the type of a Request.
type Kind string

// Kinds of requests.
const (
	KindPlacement       Kind = "ask"       // asks for a slot at an upstream; replied to repeatedly until the work starts or is refused
	KindListUnavailable Kind = "away"      // announces whether the platform's list of upstreams is unavailable to the sender
	KindChanges         Kind = "changes"   // asks for the configuration changes after a revision
	KindConnect         Kind = "connect"   // asks for a connection to an upstream; what follows the messages passes between the sender and the upstream
	KindReportCleared   Kind = "cleared"   // announces requests that are no longer suspected of having crashed upstreams
	KindReportCrashes   Kind = "crashed"   // announces crashes of upstreams
	KindListCrashes     Kind = "crashes"   // asks for the crashes that the receiver knows of
	KindHeartbeat       Kind = "heartbeat" // announces that the sender is alive
	KindInForce         Kind = "in-force"  // asks for the current revision at the boxes of a hall
	KindLeaving         Kind = "leaving"   // announces that an upstream is leaving
	KindLimits          Kind = "limits"    // exchanges the known rate limits of upstreams
	KindMembers         Kind = "members"   // asks for the boxes that the receiver knows
	KindWatchChanges    Kind = "news"      // long poll: asks for changes unknown to the sender, and waits if there are none
	KindPermit          Kind = "permit"    // asks for permits to send to a rate-limited upstream
	KindReportCompleted Kind = "served"    // announces the requests that the sender completed
	KindMoveSlot        Kind = "turn"      // asks for a move slot of an upstream
	KindProgress        Kind = "update"    // reports the progress of running generations
)

// State is the lifecycle state that a box reports.
type State string

// The states of a box.
const (
	StateLeaving State = "leaving"
	// StateLost is the state of a box that the platform lists as lost. It is not sent between boxes.
	StateLost    State = "lost"
	StateServing State = "serving"
)

// Member describes a box to other boxes.
type Member struct {
	Address string `cbor:"1,keyasint"` // IP:port
	Hall    string `cbor:"2,keyasint"`
	Name    string `cbor:"3,keyasint"`
	State   State  `cbor:"4,keyasint"`
}

// Request is the first message of a call. Comments on fields start with the wire names of the
// kinds that use them.
type Request struct {
	ViewAge             time.Duration            `cbor:"22,keyasint,omitempty"` // heartbeat: age of the sender's view, 0 if unknown
	Placement           *PlacementRequest        `cbor:"2,keyasint,omitempty"`
	ListUnavailable     bool                     `cbor:"11,keyasint,omitempty"` // away: the sender cannot read the list of upstreams
	Connect             *ConnectRequest          `cbor:"27,keyasint,omitempty"` // connect
	StartedAtMS         int64                    `cbor:"13,keyasint,omitempty"` // leaving: start time of the upstream in Unix milliseconds, 0 if unknown
	Crashes             []policy.Crash           `cbor:"16,keyasint,omitempty"` // crashed
	From                Member                   `cbor:"3,keyasint"`
	WholeHall           bool                     `cbor:"4,keyasint,omitempty"` // in-force: reply for all boxes of the hall
	Kind                Kind                     `cbor:"5,keyasint"`
	KnownCrashes        []uint64                 `cbor:"17,keyasint,omitempty"` // crashes: hashes of the crashes that the sender knows
	LeavingUpstream     string                   `cbor:"9,keyasint,omitempty"`  // leaving: name of the upstream
	LimitsDigest        uint64                   `cbor:"19,keyasint,omitempty"` // heartbeat: digest of the rate limits that the sender knows
	Limits              []ratelimit.Limit        `cbor:"20,keyasint,omitempty"` // limits
	Loads               []policy.Load            `cbor:"10,keyasint,omitempty"` // heartbeat: loads of the upstreams that the sender owns, with BusyLoadsOnly those that are not idle
	BusyLoadsOnly       bool                     `cbor:"24,keyasint,omitempty"` // heartbeat: the reply may leave out the loads of idle upstreams
	MaxChanges          int                      `cbor:"25,keyasint,omitempty"` // changes: how many changes of upstreams the reply may contain; 0 for any number
	PageAfter           string                   `cbor:"26,keyasint,omitempty"` // changes: reply with the changes of upstreams after this name only
	Permit              *ratelimit.PermitRequest `cbor:"21,keyasint,omitempty"` // permit
	ClearedFingerprints []policy.Fingerprint     `cbor:"15,keyasint,omitempty"` // cleared: fingerprints of the requests
	CrashesDigest       uint64                   `cbor:"18,keyasint,omitempty"` // heartbeat: digest of the crashes that the sender knows
	Revisions           resource.Revisions       `cbor:"6,keyasint"`            // known to the sender
	SentAt              time.Time                `cbor:"1,keyasint"`            // by the sender's clock, like all times in the message
	CompletedRuns       []policy.CompletedRun    `cbor:"23,keyasint,omitempty"` // served: requests completed since the sender's last report
	MoveSlot            *MoveSlotRequest         `cbor:"8,keyasint,omitempty"`
	Progress            *ProgressReport          `cbor:"7,keyasint,omitempty"`
	Wait                time.Duration            `cbor:"12,keyasint,omitempty"` // news: how long to wait for changes after the arrival of the request
}

// ConnectRequest asks for a connection to an upstream.
type ConnectRequest struct {
	Address string `cbor:"1,keyasint"` // of the upstream, IP:port
}

// PlacementRequest asks the owner of an upstream for a slot.
type PlacementRequest struct {
	Upstream string      `cbor:"1,keyasint"`
	Work     policy.Work `cbor:"2,keyasint"`
}

// MoveSlotRequest asks the owner of an upstream for a move slot: the right to copy the memory of one
// generation from or to the upstream. The slot is held until the caller ends the call.
type MoveSlotRequest struct {
	Inbound  bool       `cbor:"3,keyasint,omitempty"` // the memory is copied to the upstream, not from it
	Run      policy.Run `cbor:"1,keyasint"`
	Upstream string     `cbor:"2,keyasint"`
}

// MoveSlotReply grants or refuses a move slot. If it is refused, the generation stays where it is.
type MoveSlotReply struct {
	Granted bool   `cbor:"1,keyasint"`
	Reason  string `cbor:"2,keyasint,omitempty"` // why the slot is refused
}

// GenerationProgress is the progress of one generation.
type GenerationProgress struct {
	Ended    bool         `cbor:"1,keyasint,omitempty"` // it ran to completion
	Released bool         `cbor:"2,keyasint,omitempty"` // its memory at the upstream is free again
	ID       string       `cbor:"3,keyasint"`
	Produced int          `cbor:"4,keyasint"`           // output tokens so far
	Work     *policy.Work `cbor:"5,keyasint,omitempty"` // set if the owner does not know the generation
}

// ProgressReport reports the progress of generations to the owner of their upstream.
type ProgressReport struct {
	Items    []GenerationProgress `cbor:"1,keyasint"`
	Upstream string               `cbor:"2,keyasint"`
}

// Reply is one message in response to a Request. Comments on fields start with the wire names of
// the kinds that use them.
type Reply struct {
	ViewAge       time.Duration      `cbor:"19,keyasint,omitempty"` // heartbeat, news: age of the sender's view, 0 if unknown
	Answer        *policy.Answer     `cbor:"1,keyasint,omitempty"`  // ask
	Changes       []resource.Batch   `cbor:"2,keyasint,omitempty"`  // changes, news
	Crashes       []policy.Crash     `cbor:"14,keyasint,omitempty"` // crashes
	Error         string             `cbor:"3,keyasint,omitempty"`  // reason why the box refused the request
	FollowsStore  bool               `cbor:"13,keyasint,omitempty"` // news: the sender's view is kept up to date
	Grant         *ratelimit.Grant   `cbor:"16,keyasint,omitempty"` // permit
	LimitsDigest  uint64             `cbor:"17,keyasint,omitempty"` // heartbeat: digest of the rate limits that the sender knows
	Limits        []ratelimit.Limit  `cbor:"18,keyasint,omitempty"` // limits
	Halls         []HallRevisions    `cbor:"4,keyasint,omitempty"`  // in-force
	Load          *policy.Load       `cbor:"5,keyasint,omitempty"`  // ask, update: load of the upstream
	Loads         []policy.Load      `cbor:"12,keyasint,omitempty"` // heartbeat: loads of the upstreams that the sender owns
	NextPage      string             `cbor:"20,keyasint,omitempty"` // changes: the name after which the changes of upstreams go on, "" if they are complete
	Members       []Member           `cbor:"6,keyasint,omitempty"`  // members
	CrashesDigest uint64             `cbor:"15,keyasint,omitempty"` // heartbeat: digest of the crashes that the sender knows
	Revisions     resource.Revisions `cbor:"7,keyasint"`            // known to the sender
	SentAt        time.Time          `cbor:"10,keyasint"`           // by the sender's clock, like all times in the message
	State         State              `cbor:"8,keyasint,omitempty"`  // of the sender
	MoveSlot      *MoveSlotReply     `cbor:"11,keyasint,omitempty"` // turn
	UnknownIDs    []string           `cbor:"9,keyasint,omitempty"`  // update: IDs of generations that the owner does not know
}

// HallRevisions lists the current revisions of the boxes of a hall.
type HallRevisions struct {
	Hall       string  `cbor:"1,keyasint"`
	Revisions  []int64 `cbor:"2,keyasint"` // one per box that replied
	Unanswered int     `cbor:"3,keyasint"` // number of boxes that did not reply
}
