package core

import "time"

// Request describes one request to the Decider.
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
	// MaxTokens is the caller's own limit on the output; 0 for none.
	MaxTokens int
	// Prefixes are the prompt's digests as PrefixDigests returns them.
	Prefixes []uint64
	// Arrived is when the entry host accepted the request.
	Arrived time.Time
	// QueueDeadline is when a waiting request is refused.
	QueueDeadline time.Time
	// Deadline is when the first token must have arrived.
	Deadline time.Time
}

// Report is the load that an endpoint reports of itself. It lags behind the
// actual load.
type Report struct {
	Endpoint    EndpointName
	Incarnation Incarnation
	Phase       Phase
	Leaving     bool
	// AskedAt is when this host requested the report, by its own clock. Requests
	// that it dispatched later are certainly not in the report.
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

// LoadedModel is one model that an engine has loaded.
type LoadedModel struct {
	Model   ModelName
	Adapter AdapterName
	Version VersionName
}

// CacheEvent is one change of an engine's prefix cache. Events arrive late, and
// some are missing.
type CacheEvent struct {
	Endpoint EndpointName
	Sequence uint64
	Prefix   uint64
	Stored   bool // false: evicted
}

// Result is how one try on an endpoint ended.
type Result uint8

// Results of a try. ResultDialFailed and ResultRefused prove that the
// endpoint ran nothing; with any other result the request may have run.
const (
	ResultCompleted  Result = iota + 1
	ResultDialFailed        // no byte was sent to the endpoint
	ResultRefused           // the endpoint definitely refused
	ResultLost              // failed before a token was delivered
	ResultCut               // failed for good after a token was delivered
	ResultCancelled         // the caller disconnected
)

// Placement assigns a request to an endpoint.
type Placement struct {
	Request  RequestID
	Endpoint EndpointName
	// Slot is the slot of the endpoint that the request takes; this host owns it
	// or has borrowed it.
	Slot SlotID
	// ValidUntil is when the placement expires if the request has not been
	// dispatched. io/shell reads its clock again right before the dispatch and
	// calls Confirm.
	ValidUntil time.Time
	Priority   int
	Try        int
}

// SlotID identifies one slot of an endpoint, the permission for one request in
// flight. Positions run from 0 to WarmSlots-1; only the first ColdSlots of them
// may be used while the endpoint is cold.
type SlotID struct {
	Endpoint EndpointName
	Position int
}

// Refusal removes a request from the queue for good. The outcome is NotRun, or
// Unknown when an earlier try failed that may have run.
type Refusal struct {
	Request RequestID
	Err     *OutcomeError
}

// SlotRequest is an action: request a slot of an endpoint from its owner, or from
// a former owner that still holds it.
type SlotRequest struct {
	Owner    HostName
	Endpoint EndpointName
	// AskedAt is when the borrower decided to send the request. Its lease counts
	// from then.
	AskedAt time.Time
	// BorrowerRevision is the borrower's revision; an owner at another revision refuses.
	BorrowerRevision Revision
	HeldLeases       HeldLeases
}

// HeldLeases tells an owner which of its leases of an endpoint a borrower still
// holds, so that the owner can reuse a slot when the message that granted or
// returned its lease was lost.
type HeldLeases struct {
	Endpoint EndpointName
	// Received is the highest serial that the borrower has received from this
	// owner, 0 if none. The borrower accepts no lower serial later.
	Received uint64
	// Held lists the serials of the leases that it holds.
	Held []uint64
}

// Lease is a slot that its owner lends to another host for a limited time. The
// borrower counts the time from its request and the owner from its answer, so
// the borrower's deadline always comes first.
type Lease struct {
	Slot     SlotID
	Owner    HostID
	Borrower HostID
	Revision Revision
	// Serial increases with each lease of an owner, also across its
	// incarnations.
	Serial uint64
	// Deadline is by the local clock: the owner and the borrower each compute
	// their own.
	Deadline time.Time
}

// LeaseReturn is an action: return a lease to its owner.
type LeaseReturn struct {
	Lease Lease
}

// Actions lists what to do after a decision, in the order of the fields. Its
// slices are valid until the next call of the Decider, so io/shell processes
// them while it holds its lock.
type Actions struct {
	Placements   []Placement
	Refusals     []Refusal
	SlotRequests []SlotRequest
	LeaseReturns []LeaseReturn
	// WakeAt is the latest time for the next call of Tick; zero for never.
	WakeAt time.Time
}

// Decider makes the decisions of one entry host: limits, admission, routing,
// queueing and retries. It is synchronous and not safe for concurrent use;
// io/shell guards it with a lock.
type Decider interface {
	// Apply puts an accepted configuration in force.
	Apply(now time.Time, config Config) Actions
	// Submit adds a request.
	Submit(now time.Time, request Request) Actions
	// Confirm reports whether a placement may still be dispatched. If not, the
	// placement is revoked, a later decision places the request again (io/shell
	// calls Tick next), and Finish does nothing for the revoked placement.
	Confirm(now time.Time, placement Placement) bool
	// Progress records how many tokens a running request has produced so far.
	Progress(now time.Time, request RequestID, tokens int)
	// Finish ends a try. After a refusal, a failed dial or the loss of a
	// repeatable request, the request is placed again or refused; after the loss
	// of any other request, it is refused with the outcome Unknown. In all other
	// cases the request is done and its state is dropped.
	Finish(now time.Time, placement Placement, result Result, tokens int) Actions
	// Withdraw removes a waiting request from the queue. It reports whether the
	// request was still waiting.
	Withdraw(now time.Time, request RequestID) bool
	// Observe processes an endpoint's load report.
	Observe(now time.Time, report Report) Actions
	// ObserveCache processes cache events.
	ObserveCache(now time.Time, events []CacheEvent)
	// ObserveUnreachable records that an endpoint's report could not be
	// fetched.
	ObserveUnreachable(now time.Time, endpoint EndpointName) Actions
	// Lend answers another host's request for a slot. It returns false to refuse.
	Lend(now time.Time, borrower HostID, endpoint EndpointName, borrowerRevision Revision) (Lease, bool)
	// Reconcile takes back expired leases of this host that the borrower does
	// not hold any more. Each request for a slot brings the list of held leases,
	// which is processed before Lend.
	Reconcile(now time.Time, borrower HostID, held HeldLeases)
	// Borrowed processes an owner's answer to a slot request; granted is false
	// for a refusal.
	Borrowed(now time.Time, slotRequest SlotRequest, lease Lease, granted bool) Actions
	// Returned takes back a lease that this host had granted.
	Returned(now time.Time, lease Lease) Actions
	// Acknowledged records that a host has a revision in force. It is called for
	// each heartbeat and message of any host, and for other processes that use
	// this host's name: a later one supersedes this process. Cold slots of a
	// revision may be used only after all hosts have acknowledged it.
	Acknowledged(now time.Time, host HostID, revision Revision) Actions
	// Drain stops admission: waiting requests are refused and idle leases are
	// returned.
	Drain(now time.Time) Actions
	// Tick performs the actions that have become due.
	Tick(now time.Time) Actions
	// Snapshot and Restore transfer length estimates and endpoint state to a
	// host that has just started. Restore ignores data older than its own.
	Snapshot(now time.Time) ([]byte, error)
	Restore(now time.Time, snapshot []byte) error
	// RoutesTo reports whether this host sends requests to an endpoint and so has
	// to fetch its reports. In a large fleet each host uses a subset of the
	// endpoints.
	RoutesTo(endpoint EndpointName) bool
	// Status returns the figures for /statusz.
	Status(now time.Time) DeciderStatus
}

// DeciderStatus is the Decider's part of /statusz.
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
