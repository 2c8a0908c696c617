package peer

import (
	"time"

	"github.com/baobablanding/baobablanding/policy/share"
)

// Methods by which daemons share the rates of the workspaces.
const (
	// MethodLend asks a gateway for tokens and loans. The response is a
	// LendResponse.
	MethodLend = "lend"
	// MethodRelease tells a gateway that the sender has started as a new
	// incarnation. The response is a ReleaseResponse.
	MethodRelease = "release"
	// MethodTakeBatch asks a gateway to admit batch items. The response is a
	// TakeBatchResponse.
	MethodTakeBatch = "take"
)

// ShareHeader is the common part of all messages between gateways about rates.
type ShareHeader struct {
	// From is the sender's peer address.
	From string `json:"f"`
	// Incarnation identifies the sender's start.
	Incarnation string `json:"p"`
	// Version is the version of the configuration by which the sender computes
	// its shares.
	Version uint64 `json:"v"`
	// OldestVersion is the oldest version by which some gateway may still compute its
	// shares, as far as the sender knows.
	OldestVersion uint64 `json:"s"`
}

// LendRequest asks a gateway for tokens and loans in several workspaces.
type LendRequest struct {
	ShareHeader
	// Requests holds one entry for each workspace.
	Requests []share.Request `json:"a,omitempty"`
	// Returns holds the loans from the receiver that the sender gives back early.
	Returns []share.LoanReturn `json:"b,omitempty"`
}

// LendResponse answers a LendRequest.
type LendResponse struct {
	ShareHeader
	// Replies holds one entry for each workspace for which there is something to
	// grant or to report.
	Replies []share.Reply `json:"g,omitempty"`
}

// ReleaseRequest tells a gateway that earlier incarnations of the sender have ended.
type ReleaseRequest struct {
	ShareHeader
}

// ReleaseResponse tells how long the responding gateway may still use loans from earlier
// incarnations of the requesting gateway.
type ReleaseResponse struct {
	ShareHeader
	// LoansEndIn is the time until the last loan that depends on an earlier
	// incarnation has ended. 0 means that there is none.
	LoansEndIn time.Duration `json:"h,omitempty"`
}

// TakeBatchRequest asks a gateway to admit batch items of a workspace.
type TakeBatchRequest struct {
	// Workspace is the workspace's name.
	Workspace string `json:"workspace"`
	// Tokens is the number of items, each of which takes one token.
	Tokens int `json:"tokens"`
}

// TakeBatchResponse answers a TakeBatchRequest.
type TakeBatchResponse struct {
	// Granted is the number of items that may run now.
	Granted int `json:"granted"`
	// RetryAfter is the time until items may be granted again. It is used only if
	// Granted is 0.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}
