// Package box speaks to the other boxes of the system, over QUIC with CBOR.
//
// A call opens one stream, sends one Request and reads one or more Replies.
// Every message carries the sender's name and configuration revision.
package box

import (
	"time"

	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/ratelimit"
	"github.com/linetiller/linetiller/internal/resource"
)

// Kind tells what a Request asks for.
type Kind string

// The kinds of requests.
const (
	KindPlacement      Kind = "ask"       // a place at an upstream; replies until it starts or is refused
	KindListUnreadable Kind = "away"      // whether the platform's list of upstreams cannot be read
	KindChanges        Kind = "changes"   // configuration after a revision
	KindCleared        Kind = "cleared"   // that requests were served under which upstreams had crashed
	KindReportCrashes  Kind = "crashed"   // what the sender learned of crashes of upstreams
	KindListCrashes    Kind = "crashes"   // what the other side knows of crashes of upstreams
	KindHeartbeat      Kind = "heartbeat" // that the sender lives
	KindInForce        Kind = "in-force"  // the revision in force at the boxes of a hall
	KindLeaving        Kind = "leaving"   // that an upstream told that it is leaving
	KindLimits         Kind = "limits"    // rate limits of upstreams: what the sender tells of them, and what the other side knows
	KindMembers        Kind = "members"   // the boxes that the other side knows
	KindWatchChanges   Kind = "news"      // what the sender does not know yet, once there is some
	KindPermit         Kind = "permit"    // permits to send to an upstream that has a rate limit
	KindServed         Kind = "served"    // which requests ran to their ends at the sender
	KindMoveSlot       Kind = "turn"      // the turn to move a generation away from an upstream, or to one
	KindProgress       Kind = "update"    // how far running generations are
)

// State is what a box says of itself.
type State string

// The states of a box.
const (
	StateLeaving State = "leaving"
	StateServing State = "serving"
)

// Member is a box as another box knows it.
type Member struct {
	Address string `cbor:"1,keyasint"` // IP:port
	Hall    string `cbor:"2,keyasint"`
	Name    string `cbor:"3,keyasint"`
	State   State  `cbor:"4,keyasint"`
}

// Request is the first message on a stream.
type Request struct {
	ViewAge         time.Duration        `cbor:"22,keyasint,omitempty"` // heartbeat: of the sender's view, 0 where it does not know
	Placement       *PlacementRequest    `cbor:"2,keyasint,omitempty"`
	ListUnreadable  bool                 `cbor:"11,keyasint,omitempty"` // away: it cannot be read
	Born            int64                `cbor:"13,keyasint,omitempty"` // leaving: when the upstream started, in Unix milliseconds; 0 where that is not told
	Crashes         []policy.Crash       `cbor:"16,keyasint,omitempty"` // crashed
	From            Member               `cbor:"3,keyasint"`
	Forward         bool                 `cbor:"4,keyasint,omitempty"` // in-force: ask the whole hall
	Kind            Kind                 `cbor:"5,keyasint"`
	KnownCrashes    []uint64             `cbor:"17,keyasint,omitempty"` // crashes: hashes of those that the sender knows
	LeavingUpstream string               `cbor:"9,keyasint,omitempty"`  // leaving: the upstream
	LimitsDigest    uint64               `cbor:"19,keyasint,omitempty"` // heartbeat: digest of the limits that the sender knows
	Limits          []ratelimit.Limit    `cbor:"20,keyasint,omitempty"` // limits
	Loads           []policy.Load        `cbor:"10,keyasint,omitempty"` // heartbeat: of the upstreams that the sender owns
	Permit          *ratelimit.Ask       `cbor:"21,keyasint,omitempty"` // permit
	Fingerprints    []policy.Fingerprint `cbor:"15,keyasint,omitempty"` // cleared: of the requests
	CrashesDigest   uint64               `cbor:"18,keyasint,omitempty"` // heartbeat: digest of what the sender knows of crashes
	Revisions       resource.Revisions   `cbor:"6,keyasint"`            // known to the sender
	SentAt          time.Time            `cbor:"1,keyasint"`            // by the sender's clock, which times in the message are by
	Served          []policy.ServedRun   `cbor:"23,keyasint,omitempty"` // served: since the sender's last report
	MoveSlot        *MoveSlotRequest     `cbor:"8,keyasint,omitempty"`
	Progress        *ProgressReport      `cbor:"7,keyasint,omitempty"`
	Wait            time.Duration        `cbor:"12,keyasint,omitempty"` // news: for some, from the arrival of the request
}

// PlacementRequest asks the owner of an upstream for a place.
type PlacementRequest struct {
	Upstream string      `cbor:"1,keyasint"`
	Work     policy.Work `cbor:"2,keyasint"`
}

// MoveSlotRequest asks the owner of an upstream for the turn to move a generation away, or
// there. The turn lasts until the caller hangs up.
type MoveSlotRequest struct {
	Inbound  bool       `cbor:"3,keyasint,omitempty"` // to the upstream, and not away from it
	Run      policy.Run `cbor:"1,keyasint"`
	Upstream string     `cbor:"2,keyasint"`
}

// MoveSlotReply tells that a generation's turn has come, or that it stays.
type MoveSlotReply struct {
	Granted bool   `cbor:"1,keyasint"`
	Reason  string `cbor:"2,keyasint,omitempty"` // why it stays
}

// GenerationProgress is how far one generation is.
type GenerationProgress struct {
	Ended    bool         `cbor:"1,keyasint,omitempty"` // it reached its own end
	Released bool         `cbor:"2,keyasint,omitempty"` // it holds no memory any more
	ID       string       `cbor:"3,keyasint"`
	Produced int          `cbor:"4,keyasint"`           // tokens
	Work     *policy.Work `cbor:"5,keyasint,omitempty"` // for an owner that does not know it
}

// ProgressReport tells the owner of an upstream how far generations are.
type ProgressReport struct {
	Items    []GenerationProgress `cbor:"1,keyasint"`
	Upstream string               `cbor:"2,keyasint"`
}

// Reply is one answer.
type Reply struct {
	ViewAge       time.Duration      `cbor:"19,keyasint,omitempty"` // heartbeat, news: of the sender's view, 0 where it does not know
	Answer        *policy.Answer     `cbor:"1,keyasint,omitempty"`  // ask
	Changes       []resource.Batch   `cbor:"2,keyasint,omitempty"`  // changes
	Crashes       []policy.Crash     `cbor:"14,keyasint,omitempty"` // crashes
	Error         string             `cbor:"3,keyasint,omitempty"`  // the reason of a refusal by the box itself
	FollowsStore  bool               `cbor:"13,keyasint,omitempty"` // news: the sender's view is kept up to date from the store
	Grant         *ratelimit.Grant   `cbor:"16,keyasint,omitempty"` // permit
	LimitsDigest  uint64             `cbor:"17,keyasint,omitempty"` // heartbeat: digest of the limits that the sender knows
	Limits        []ratelimit.Limit  `cbor:"18,keyasint,omitempty"` // limits
	Halls         []HallRevisions    `cbor:"4,keyasint,omitempty"`  // in-force
	Load          *policy.Load       `cbor:"5,keyasint,omitempty"`
	Loads         []policy.Load      `cbor:"12,keyasint,omitempty"` // heartbeat: of the upstreams that the sender owns
	Members       []Member           `cbor:"6,keyasint,omitempty"`  // members
	CrashesDigest uint64             `cbor:"15,keyasint,omitempty"` // heartbeat: digest of what the sender knows of crashes
	Revisions     resource.Revisions `cbor:"7,keyasint"`            // known to the sender
	SentAt        time.Time          `cbor:"10,keyasint"`           // by the sender's clock, which times in the message are by
	State         State              `cbor:"8,keyasint,omitempty"`  // heartbeat
	MoveSlot      *MoveSlotReply     `cbor:"11,keyasint,omitempty"` // turn
	Unknown       []string           `cbor:"9,keyasint,omitempty"`  // update: ids the owner does not know
}

// HallRevisions tells which revisions the boxes of a hall have in force.
type HallRevisions struct {
	Hall       string  `cbor:"1,keyasint"`
	Revisions  []int64 `cbor:"2,keyasint"` // one a box that answered
	Unanswered int     `cbor:"3,keyasint"` // boxes that did not
}
