package granter

// Values of Grant.Work that are no grant.
const (
	// workNone says that the daemon does not act as home of the endpoint.
	workNone = -1
	// workWait says that the home waits until earlier grants have lapsed.
	workWait = -2
	// workTell says that the home does not know what the daemon has under way:
	// its next ask tells all of it.
	workTell = -3
)

type (
	// Ask asks a home for parts of its endpoints' budgets. Needs that are left out
	// are those of the ask before it.
	Ask struct {
		_ struct{} `cbor:",toarray"`
		// Instance names the asking process, Home the process asked last.
		Instance uint32
		Home     uint32
		// Stamp and Seq are those of the last answer that was put in force.
		Stamp int64
		Seq   uint64
		// Daemons is the number of daemons that the asking one lists.
		Daemons int
		// Full says that Needs is complete.
		Full  bool
		Needs []Need
	}

	// Need is what one daemon has and wants at one endpoint. Work is in tokens,
	// in calls for a plain service.
	Need struct {
		_ struct{} `cbor:",toarray"`
		// Key names the endpoint's process.
		Key uint32
		// Out is the work under way beyond the grant of the home that is asked.
		Out int64
		// Want is the work that the daemon would have under way, Unit its largest
		// request.
		Want, Unit int64
		// Cold says that the endpoint has just refused for overload or been slow.
		Cold bool
	}

	// Answer carries the grants that differ from those of the answer before it.
	// All others are renewed.
	Answer struct {
		_        struct{} `cbor:",toarray"`
		Instance uint32
		// Stamp is the home's clock in milliseconds, rounded down; the next ask
		// brings it back.
		Stamp int64
		Seq   uint64
		// Daemons is the number of daemons that the home lists.
		Daemons int
		// Life is how long the grants last from when they were asked for, in
		// milliseconds.
		Life int64
		// Resync asks for a full Ask; the answer grants nothing.
		Resync bool
		// Full says that Grants is complete.
		Full   bool
		Grants []Grant
	}

	// Grant is the work that a daemon may have under way at one endpoint, or
	// workNone, workWait or workTell.
	Grant struct {
		_    struct{} `cbor:",toarray"`
		Key  uint32
		Work int64
	}
)
