package forwarder

import (
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/traffic/queuer"
)

const (
	// MaxWaiting bounds the requests that wait for capacity at one daemon. Beside the memory
	// that each request in flight has already, a waiting one takes less than a kilobyte.
	MaxWaiting = 10_000
	// objectiveWaitShare is the share of the time left to the objective, and deadlineWaitShare
	// that of the time left to the deadline, for which a request waits at most.
	objectiveWaitShare = 0.5
	deadlineWaitShare  = 0.25
	// stopWaitShare is the share of ShutdownGrace after which waiting requests are refused;
	// requests that were sent need the rest.
	stopWaitShare = 0.5
	// holdWeight is the weight of one more request in the mean time for which requests hold
	// their endpoints.
	holdWeight = 0.05
	// canarySuffix distinguishes the queue of a release under test, which has endpoints of its
	// own.
	canarySuffix = " canary"
	// maxQueueRetryAfter bounds the time after which a request refused by the queue may be
	// retried: the load of a pool changes within seconds.
	maxQueueRetryAfter = 10 * time.Second
)

// admission decides which waiting requests of one queue are sent.
type admission struct {
	mu        sync.Mutex
	allowance queuer.Allowance
	// held is the mean time for which requests held their endpoints; zero before the first.
	held time.Duration
}

// admissions holds the admissions by queue.
type admissions struct {
	mu      sync.Mutex
	byQueue map[string]*admission
}

// get returns the admission of a queue, created on first use.
func (a *admissions) get(queue string, now time.Duration, random func() float64) *admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byQueue == nil {
		a.byQueue = make(map[string]*admission)
	}
	found := a.byQueue[queue]
	if found == nil {
		found = new(admission)
		found.allowance.Start(now, random())
		a.byQueue[queue] = found
	}
	return found
}

// queueName returns the name of the queue for the endpoints of one release.
func queueName(v *samphireturn.View, pool, release string) string {
	if r := v.Rollouts[pool]; r != nil && release == r.Release {
		return pool + canarySuffix
	}
	return pool
}

// observeRelease records that a request of this daemon no longer holds an endpoint.
func (f *Forwarder) observeRelease(r balancer.Release) {
	v := f.Control.Snapshot().View
	if v == nil {
		return
	}
	queue := queueName(v, r.Host.Pool, r.Host.Release)
	f.admissions.get(queue, f.Clock(), f.Rand).release(r, f.Clock())
	f.Queue.RecordReleased(queue, 1)
}

func (a *admission) release(r balancer.Release, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held == 0 {
		a.held = r.Held
	}
	a.held += time.Duration(holdWeight * float64(r.Held-a.held))
	a.allowance.Release(now)
}

// rate returns the requests per second that are expected to be sent: those in flight that end
// and this daemon's share. It is infinite if nothing is known of it, as others have all slots:
// the rate measured before tells nothing either.
func (a *admission) rate(inFlight int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held <= 0 || inFlight == 0 {
		return math.Inf(1)
	}
	return float64(inFlight)/a.held.Seconds() + a.allowance.ShareRate()
}

// waitForRoom has a first attempt wait while no endpoint of its pool has room for it. It
// returns the endpoint reserved at the end of the wait. If it returns neither that nor a
// refusal, the request is sent as if there were no queue.
func (c *proxyCall) waitForRoom() (*balancer.Reservation, *samphireturn.Refusal) {
	if !c.mayWaitForRoom() {
		return nil, nil
	}
	c.updateCandidates()
	queue := c.queueName()
	room := c.Balancer.Room(&c.pickRequest)
	waiting := c.Queue.Waiting(queue)
	if !room.Usable || room.Unknown {
		return nil, nil
	}
	a := c.admissions.get(queue, c.Clock(), c.Rand)
	a.observe(c.Clock(), room, c.sharingDaemons())
	if waiting == 0 && room.Free > 0 && c.enoughRoom(room) {
		if !room.Scarce {
			c.Balancer.TakePlace(&c.pickRequest)
			a.use(c.Clock())
			return nil, nil
		}
		a.use(c.Clock())
		return c.Balancer.PickRoomy(&c.pickRequest), nil
	}
	bound := c.waitBound()
	if bound <= 0 {
		return nil, nil
	}
	return c.queueForRoom(queue, a, waiting, bound, room)
}

// enoughRoom reports whether all daemons may send a request at once without exceeding the
// capacity that they see. Many that wait would exceed it.
func (c *proxyCall) enoughRoom(room balancer.Room) bool {
	return !room.Scarce || room.Spare >= float64(c.sharingDaemons()) || c.fewSlots(room)
}

// fewSlots reports whether a pool has fewer slots than daemons. Most daemons then have no request
// there whose end they could wait for, and a share that takes longer than any bound, so that
// any room is enough, also for those that wait.
func (c *proxyCall) fewSlots(room balancer.Room) bool {
	return room.Slots < float64(c.sharingDaemons())
}

// mayWaitForRoom reports whether the attempt may wait for capacity: it is the first, and its
// endpoint is chosen here. A stream that goes on elsewhere, also one that its caller
// resumes, and an attempt of a peer don't wait behind others.
func (c *proxyCall) mayWaitForRoom() bool {
	if c.Queue == nil || c.waited || c.forPeer != nil || c.begun || c.request.LastEventID != "" || c.leaving.Load() {
		return false
	}
	return c.sends == 0 && c.executions == 0 && len(c.undialled) == 0 && !c.LinkLost()
}

// waitBound returns the longest time for which the request waits.
func (c *proxyCall) waitBound() time.Duration {
	bound := share(deadlineWaitShare, c.remaining())
	if c.route.Objective > 0 {
		left := c.route.Objective - (c.Clock() - c.start)
		bound = min(bound, share(objectiveWaitShare, left))
	}
	return bound
}

// queueForRoom waits in a queue.
func (c *proxyCall) queueForRoom(queue string, a *admission, waiting int, bound time.Duration, room balancer.Room) (*balancer.Reservation, *samphireturn.Refusal) {
	c.waited = true
	c.Log.Debug().Str("event", logger.EventQueued).Str("id", c.request.ID).Str("queue", queue).Int("rank", c.priority).Str("team", c.team).
		Int("waiting", waiting).Int("running", room.Own).Dur("bound", bound).Send()
	start := c.Clock()
	var (
		reservation *balancer.Reservation
		refusal     *samphireturn.Refusal
	)
	err := c.Queue.Join(c.ctx, queuer.Entry{
		Pool: queue, Team: c.team, Rank: c.priority, Cost: 1, MayWait: true, Bound: bound, Rate: a.rate(room.Own),
	}, func() (done bool) {
		reservation, refusal, done = c.tryRoom(a)
		return done
	})
	outcome := meter.QueueSent
	switch {
	case err != nil:
		outcome, refusal = c.queueRefusal(err)
	case refusal != nil:
		outcome = refusal.Reason
	case reservation == nil:
		outcome = meter.QueueNoEndpoint
	}
	took := c.Clock() - start
	meter.ObserveQueued(min(max(c.priority, 0), maxPriority), c.team, outcome, took)
	line := c.Log.Info().Str("event", logger.EventDequeued).Str("id", c.request.ID).Str("queue", queue).Int("rank", c.priority).Str("team", c.team).
		Str("outcome", outcome).Dur("waited", took).Int("running", room.Own)
	if reservation != nil {
		line = line.Str("endpoint", reservation.Host.ID)
	}
	line.Send()
	if refusal == nil && reservation == nil {
		if refusal = c.checkWaiting(); refusal == nil {
			c.Balancer.TakePlace(&c.pickRequest)
			a.use(c.Clock())
		}
	}
	return reservation, refusal
}

// use counts a request that is sent without a wait or after its bound.
func (a *admission) use(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Use(now)
}

// observe records the capacity that a number of daemons share.
func (a *admission) observe(now time.Duration, room balancer.Room, daemons int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Observe(now, room.Spare, daemons)
}

// tryRoom reserves an endpoint for the next request of a queue if there is capacity of which
// this daemon may use a part now. It is done too if the request is not to wait any more: it is
// refused, or no endpoint is left.
func (c *proxyCall) tryRoom(a *admission) (reservation *balancer.Reservation, refusal *samphireturn.Refusal, done bool) {
	if refusal := c.checkWaiting(); refusal != nil {
		return nil, refusal, true
	}
	if c.LinkLost() {
		// A peer makes the attempt.
		return nil, nil, true
	}
	c.updateCandidates()
	room := c.Balancer.Room(&c.pickRequest)
	if !room.Usable || room.Unknown {
		return nil, nil, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	allowed := a.allowance.Allows(c.Clock(), room.Spare, c.sharingDaemons())
	if !allowed && (room.Free == 0 || !c.fewSlots(room)) {
		return nil, nil, false
	}
	if reservation = c.Balancer.PickRoomy(&c.pickRequest); reservation == nil {
		return nil, nil, false
	}
	a.allowance.Use(c.Clock())
	return reservation, nil, true
}

// checkWaiting checks again what was checked before the wait: the table and the endpoints may
// have changed, the key may have been removed and the request isolated.
func (c *proxyCall) checkWaiting() *samphireturn.Refusal {
	if refusal := c.checkAttempt(); refusal != nil {
		return refusal
	}
	admitted := c.route
	defer func() { c.route = admitted }()
	if c.view.Table != c.tableMatcher.Table {
		c.tableMatcher = c.matcher(c.view.Table)
	}
	if c.route = c.tableMatcher.Route(c.r.Host, c.r.URL.Path); c.route == nil {
		return c.refuseUnknown(samphireturn.ForwardNoRoute)
	}
	return c.authorize()
}

// updateCandidates sets the endpoints that the next attempt may use.
func (c *proxyCall) updateCandidates() {
	c.pickRequest.LatencyClass = c.latencyClass()
	c.pickRequest.Hosts = c.Stager.Hosts(c.view, c.pool.Name, c.request.Session, c.request.ID)
}

// queueName returns the name of the queue for the request's endpoints.
func (c *proxyCall) queueName() string {
	release := ""
	if len(c.pickRequest.Hosts) > 0 {
		release = c.pickRequest.Hosts[0].Release
	}
	return queueName(c.view, c.pool.Name, release)
}

// sharingDaemons returns the number of daemons that use the capacity that this one sees. A
// daemon that hears nothing from others uses all of it.
func (c *proxyCall) sharingDaemons() int {
	if !c.Balancer.HearsOthers() {
		return 1
	}
	return max(len(c.view.Members), 1)
}

// queueRefusal returns the outcome of a wait that ended without capacity, and the refusal of
// its request; nil if it is sent nevertheless.
func (c *proxyCall) queueRefusal(err error) (outcome string, refusal *samphireturn.Refusal) {
	var e *queuer.Error
	if !errors.As(err, &e) {
		return meter.QueueSent, c.refusal(samphireturn.ReasonBusy, busyRetryAfter, err)
	}
	outcome = e.Kind.String()
	switch e.Kind {
	case queuer.KindTimeout:
		return outcome, nil
	case queuer.KindCancelled:
		return outcome, c.deadlineRefusal()
	case queuer.KindStopped:
		return outcome, c.refusal(samphireturn.ReasonClosing, busyRetryAfter, err)
	default:
		return outcome, c.refusal(samphireturn.ReasonBusy, min(max(e.RetryAfter, busyRetryAfter), maxQueueRetryAfter), err)
	}
}
