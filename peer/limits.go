package peer

import (
	"time"

	"github.com/baobablanding/baobablanding/policy/share"
)

// Methods by which processes divide the workspaces' rates.
const (
	// MethodLend asks a gateway for tokens and loans; the answer is a
	// LendResponse.
	MethodLend = "lend"
	// MethodRelease tells a gateway that a new process of the sender has
	// started; the answer is a ReleaseResponse.
	MethodRelease = "release"
	// MethodTakeBatch asks a gateway to admit batch items; the answer is a
	// TakeResponse.
	MethodTakeBatch = "take"
)

// ShareHeader opens each message between gateways about rates.
type ShareHeader struct {
	// From is the sender's peer address.
	From string `json:"f"`
	// Incarnation identifies the sender's process.
	Incarnation string `json:"p"`
	// Version is the version of the configuration that the sender's shares
	// follow.
	Version uint64 `json:"v"`
	// OldestVersion is the oldest version that some gateway may still follow, as far
	// as the sender knows.
	OldestVersion uint64 `json:"s"`
}

// LendRequest asks for tokens and loans in several workspaces.
type LendRequest struct {
	ShareHeader
	// Requests holds one entry for each workspace.
	Requests []share.Request `json:"a,omitempty"`
	// Returns holds the loans of the receiver that end early.
	Returns []share.LoanReturn `json:"b,omitempty"`
}

// LendResponse answers a LendRequest.
type LendResponse struct {
	ShareHeader
	// Replies holds the entries that grant or tell something.
	Replies []share.Reply `json:"g,omitempty"`
}

// ReleaseRequest tells that former processes of the sender have ended.
type ReleaseRequest struct {
	ShareHeader
}

// ReleaseResponse tells that the answering gateway uses no loan of a former
// process of the asking one after a time.
type ReleaseResponse struct {
	ShareHeader
	// LoansEndIn is the time until the last loan that depends on a former process
	// has ended.
	LoansEndIn time.Duration `json:"h,omitempty"`
}

// TakeBatchRequest asks to admit batch items of a workspace.
type TakeBatchRequest struct {
	// Workspace is the workspace's name.
	Workspace string `json:"workspace"`
	// Tokens is the number of items.
	Tokens int `json:"tokens"`
}

// TakeBatchResponse answers a TakeRequest.
type TakeBatchResponse struct {
	// Granted is the number of items that may run now.
	Granted int `json:"granted"`
	// RetryAfter is when more may be granted, if Granted is 0.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}
