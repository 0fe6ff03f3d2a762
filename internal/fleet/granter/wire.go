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
		// Instance names the asking process, Home the process asked last.
		Instance uint64 `cbor:"i"`
		Home     uint64 `cbor:"h,omitempty"`
		// Stamp and Seq are those of the last answer that was put in force.
		Stamp int64  `cbor:"t,omitempty"`
		Seq   uint64 `cbor:"s,omitempty"`
		// Daemons is the number of daemons that the asking one lists.
		Daemons int `cbor:"n"`
		// Full says that Needs is complete.
		Full  bool   `cbor:"f,omitempty"`
		Needs []Need `cbor:"x,omitempty"`
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
		Instance uint64 `cbor:"i"`
		// Stamp is the home's clock; the next ask brings it back.
		Stamp int64  `cbor:"t"`
		Seq   uint64 `cbor:"s"`
		// Daemons is the number of daemons that the home lists.
		Daemons int `cbor:"n"`
		// Life is how long the grants last from when they were asked for, in
		// milliseconds.
		Life int64 `cbor:"l,omitempty"`
		// Resync asks for a full Ask; the answer grants nothing.
		Resync bool `cbor:"r,omitempty"`
		// Full says that Grants is complete.
		Full   bool    `cbor:"f,omitempty"`
		Grants []Grant `cbor:"x,omitempty"`
	}

	// Grant is the work that a daemon may have under way at one endpoint, or
	// workNone, workWait or workTell.
	Grant struct {
		_    struct{} `cbor:",toarray"`
		Key  uint32
		Work int64
	}
)
