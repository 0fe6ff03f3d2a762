package granter

// Values of Grant.Work that grant nothing.
const (
	// workNotHome means that the daemon does not act as home of the endpoint.
	workNotHome = -1
	// workPending means that the home waits until earlier grants have expired.
	workPending = -2
	// workReportAll means that the home does not know what the daemon has in
	// flight: the daemon's next request reports all its work.
	workReportAll = -3
)

type (
	// Request asks a home for parts of its endpoints' budgets. A demand that is
	// left out is the same as in the previous request.
	Request struct {
		_ struct{} `cbor:",toarray"`
		// Instance identifies the process that sends the request, HomeInstance the
		// process that answered the last one.
		Instance     uint32
		HomeInstance uint32
		// HomeTime and AckedSeq are the HomeTime and Seq of the last response that
		// was applied.
		HomeTime int64
		AckedSeq uint64
		// Daemons is the number of daemons in the sender's member list.
		Daemons int
		// Full means that Demands is complete.
		Full    bool
		Demands []Demand
	}

	// Demand is what one daemon uses and wants of one endpoint's budget. Work is
	// in tokens for engines and in requests for plain services.
	Demand struct {
		_ struct{} `cbor:",toarray"`
		// Key identifies the endpoint's process.
		Key uint32
		// Excess is the work in flight beyond the grant of the home that gets the
		// request.
		Excess int64
		// Work is the work that the daemon wants to have in flight, LargestRequest
		// the work of its largest request.
		Work, LargestRequest int64
		// Overloaded means that the endpoint has just refused a request for
		// overload or has been slow.
		Overloaded bool
	}

	// Response carries the grants that differ from those of the previous
	// response. All other grants are renewed.
	Response struct {
		_        struct{} `cbor:",toarray"`
		Instance uint32
		// HomeTime is the home's clock in milliseconds, rounded down; the next
		// request echoes it.
		HomeTime int64
		Seq      uint64
		// Daemons is the number of daemons in the home's member list.
		Daemons int
		// TTL is the lifetime of the grants in milliseconds, counted from when they
		// were requested.
		TTL int64
		// Resync asks for a full Request; the response grants nothing.
		Resync bool
		// Full means that Grants is complete.
		Full   bool
		Grants []Grant
	}

	// Grant is the work that a daemon may have in flight at one endpoint, or
	// workNotHome, workPending or workReportAll.
	Grant struct {
		_    struct{} `cbor:",toarray"`
		Key  uint32
		Work int64
	}
)
