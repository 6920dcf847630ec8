package core

import "time"

// Request is what the decision core needs to know of one request.
type Request struct {
	ID        RequestID
	Workspace WorkspaceName
	Service   ServiceName
	Call      CallName // of a plain service
	Delivery  Delivery
	Priority  int
	// Repeatable is false when configuration forbids a second try.
	Repeatable bool
	// PromptTokens is the engine memory that the prompt takes.
	PromptTokens int
	// MaxTokens is the caller's own bound on the output; 0 for none.
	MaxTokens int
	// Prefixes are the digests of the prompt's blocks, first block first.
	// Digest i covers blocks 0 to i.
	Prefixes []uint64
	// Arrived is when the entry host accepted the request.
	Arrived time.Time
	// QueueDeadline is when a waiting request is refused.
	QueueDeadline time.Time
	// Deadline is when the first token must have come.
	Deadline time.Time
}

// Report is an endpoint's own account of its load. It lags.
type Report struct {
	Endpoint    EndpointName
	Incarnation Incarnation
	Phase       Phase
	Leaving     bool
	// AskedAt is when this host asked, by its own clock: work that it
	// dispatched later is certainly not in the report.
	AskedAt      time.Time
	FreeTokens   int64
	TotalTokens  int64
	Running      int
	Waiting      int
	Preemptions  uint64
	FencingToken uint64
	Models       []LoadedModel
	Role         string
}

// LoadedModel is one model that an engine holds.
type LoadedModel struct {
	Model   ModelName
	Adapter AdapterName
	Version VersionName
}

// CacheEvent is one change of an engine's prefix cache, late and with gaps.
type CacheEvent struct {
	Endpoint EndpointName
	Sequence uint64
	Prefix   uint64
	Stored   bool // false: evicted
}

// Result is how one try on an endpoint ended.
type Result uint8

// Results of a try. ResultDialFailed and ResultRefused prove that the
// endpoint ran nothing; all others may have run.
const (
	ResultCompleted  Result = iota + 1
	ResultDialFailed        // no byte left for the endpoint
	ResultRefused           // the endpoint definitely refused
	ResultLost              // the try was lost before a token was delivered
	ResultCut               // lost for good after a token was delivered
	ResultCancelled         // the caller went away
)

// Placement tells where a request is to run.
type Placement struct {
	Request  RequestID
	Endpoint EndpointName
	// Slot is the permission in hand: a slot of the endpoint that this host
	// owns or has borrowed.
	Slot SlotID
	// ValidUntil is when the permission ends for a request not yet
	// dispatched. The shell reads its clock again right before the dispatch
	// and calls Confirm.
	ValidUntil time.Time
	Priority   int
	Try        int
}

// SlotID names one slot of an endpoint: positions 0 to WarmSlots-1, the first
// ColdSlots of which may be used while it is cold.
type SlotID struct {
	Endpoint EndpointName
	Position int
}

// Refusal tells that a request leaves the queue for good. The outcome is NotRun,
// or Unknown when an earlier try was lost that may have run.
type Refusal struct {
	Request RequestID
	Err     *OutcomeError
}

// Borrowing asks the shell to borrow a slot of an endpoint from its owner.
type Borrowing struct {
	Owner    HostName
	Endpoint EndpointName
	Asked    time.Time
	// Seen is the borrower's revision; an owner at another revision refuses.
	Seen    Revision
	Holding Holding
}

// Holding tells an owner which of its leases of an endpoint a borrower still
// holds, so that a lease whose grant or return was lost does not idle.
type Holding struct {
	Endpoint EndpointName
	// Received is the highest serial that the borrower has received of this
	// owner; it accepts no lower one later. 0 when there was none.
	Received uint64
	// Held lists the serials of the leases that it holds.
	Held []uint64
}

// Lease is an owner's answer: a slot lent for a term. The borrower counts the
// term from when it asked, the owner from when it answered.
type Lease struct {
	Slot     SlotID
	Owner    HostID
	Borrower HostID
	Revision Revision
	// Serial rises with each lease of an owner, also from one incarnation to
	// the next.
	Serial uint64
	// Deadline is by the clock of whoever holds this value.
	Deadline time.Time
}

// Returning asks the shell to give a lease back to its owner.
type Returning struct {
	Lease Lease
}

// Actions is what a decision wants done, in this order. Its slices are valid
// until the next call of the Decider: the shell hands them on under its lock.
type Actions struct {
	Placements []Placement
	Refusals   []Refusal
	Borrowings []Borrowing
	Returnings []Returning
	// WakeAt is when Tick is to be called at the latest; zero for never.
	WakeAt time.Time
}

// Decider is the decision core of one entry host: limits, admission, routing,
// queueing and retries. It is synchronous and not safe for concurrent use; the
// shell holds its lock.
type Decider interface {
	// Apply puts an accepted configuration in force.
	Apply(now time.Time, config Config) Actions
	// Submit enters a request.
	Submit(now time.Time, request Request) Actions
	// Confirm tells whether a placement may still be dispatched. False takes
	// the placement back; the request is placed again by a later decision (the
	// shell calls Tick next), and Finish of the same placement does nothing.
	Confirm(now time.Time, placement Placement) bool
	// Progress tells the tokens that a running request has produced so far.
	Progress(now time.Time, request RequestID, tokens int)
	// Finish ends a try. A refused or failed dial, and a lost try of a
	// repeatable request, is placed again or refused; a lost try of another is
	// refused with the outcome Unknown. The request is forgotten otherwise.
	Finish(now time.Time, placement Placement, result Result, tokens int) Actions
	// Withdraw takes a waiting request out of the queue. It reports whether
	// the request was still waiting.
	Withdraw(now time.Time, request RequestID) bool
	// Observe takes in an endpoint's load report.
	Observe(now time.Time, report Report) Actions
	// ObserveCache takes in cache events.
	ObserveCache(now time.Time, events []CacheEvent)
	// ObserveUnreachable tells that an endpoint could not be asked.
	ObserveUnreachable(now time.Time, endpoint EndpointName) Actions
	// Lend answers another host that asks for a slot.
	Lend(now time.Time, borrower HostID, endpoint EndpointName, seen Revision) (Lease, bool)
	// Reconcile takes in what a borrower says that it holds of this host's
	// leases. It comes with each request for a slot, before Lend.
	Reconcile(now time.Time, borrower HostID, holding Holding)
	// Borrowed takes in an owner's answer; a zero lease is a refusal.
	Borrowed(now time.Time, asked Borrowing, lease Lease, granted bool) Actions
	// Returned takes back a lease that this host had lent.
	Returned(now time.Time, lease Lease) Actions
	// Acknowledged tells that a roster position has a revision in force: for
	// each heartbeat and piece of news of any host, also of this host's own
	// position. Cold slots of a revision open only when all have told it.
	Acknowledged(now time.Time, host HostID, revision Revision) Actions
	// Drain stops admission: waiting requests are refused, idle leases go back.
	Drain(now time.Time) Actions
	// Tick does what is due.
	Tick(now time.Time) Actions
	// Snapshot and Restore carry length estimates and endpoint views to a
	// replaced host. Restore ignores what is older than what it has.
	Snapshot(now time.Time) ([]byte, error)
	Restore(now time.Time, snapshot []byte) error
	// Deals tells whether this host deals with an endpoint, and so has to
	// watch it. Large fleets have each host deal with a subset.
	Deals(endpoint EndpointName) bool
	// Status gives the figures for /statusz.
	Status(now time.Time) DeciderStatus
}

// DeciderStatus is the decision core's part of /statusz.
type DeciderStatus struct {
	Waiting   int
	Running   int
	Endpoints []EndpointStatus
}

// EndpointStatus is one endpoint as this host sees it.
type EndpointStatus struct {
	Name       EndpointName
	Phase      string
	OwnedSlots int
	InUse      int
	Lent       int
	Borrowed   int
	FreeTokens int64
	ReportedAt time.Time
}
