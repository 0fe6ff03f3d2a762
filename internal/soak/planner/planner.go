// Package planner draws the schedule of faults of a soak from a seed.
package planner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of steps.
const (
	// DaemonTerm, DaemonKill, DaemonStop and DaemonHup send the signal to a daemon, which
	// is started again after its end or continued. DaemonsKill kills all, DaemonsRoll
	// shuts all down in turn.
	DaemonTerm  = "daemon_term"
	DaemonKill  = "daemon_kill"
	DaemonStop  = "daemon_stop"
	DaemonHup   = "daemon_hup"
	DaemonsKill = "daemons_kill"
	DaemonsRoll = "daemons_roll"
	// DaemonsUpgrade shuts all daemons down in turn and starts each with the current
	// program, DaemonsDowngrade does so with the earlier one.
	DaemonsUpgrade   = "daemons_upgrade"
	DaemonsDowngrade = "daemons_downgrade"
	// EndpointCrash kills an endpoint and starts it with another id at the same address,
	// EndpointSwap does so in another pool. EndpointDrain lets it announce that it
	// leaves, EndpointVanish removes its entry. EndpointStop pauses it.
	EndpointCrash  = "endpoint_crash"
	EndpointSwap   = "endpoint_swap"
	EndpointDrain  = "endpoint_drain"
	EndpointVanish = "endpoint_vanish"
	EndpointStop   = "endpoint_stop"
	// EndpointFault makes an endpoint give a part of the answers with a fault.
	EndpointFault = "endpoint_fault"
	// EndpointRest makes an endpoint turn a part of the requests away and ask for pauses.
	EndpointRest = "endpoint_rest"
	// EndpointsStop pauses all endpoints of a pool, EndpointsShed makes them turn all requests
	// away.
	EndpointsStop = "endpoints_stop"
	EndpointsShed = "endpoints_shed"
	// StoreDown and the others make the store answer 503, reset connections, be slow,
	// lose replies to writes, refuse one daemon, forget its history, hold the
	// connections that are open, keep an entry that can't be read, and come back from an
	// older copy after it was away.
	StoreDown    = "store_down"
	StoreReset   = "store_reset"
	StoreSlow    = "store_slow"
	StoreLost    = "store_lost"
	StoreRefuse  = "store_refuse"
	StoreForget  = "store_forget"
	StoreSilence = "store_silence"
	StoreGarble  = "store_garble"
	StoreRestore = "store_restore"
	// LinkCut and the others hold all data of a daemon, that to it, that between it and
	// the store or other daemons, or delay it; reset or silence its open connections.
	LinkCut      = "link_cut"
	LinkCutIn    = "link_cut_in"
	LinkCutStore = "link_cut_store"
	LinkCutPeers = "link_cut_peers"
	LinkSlow     = "link_slow"
	LinkReset    = "link_reset"
	LinkSilence  = "link_silence"
	// EndpointCut holds all data of an endpoint.
	EndpointCut = "endpoint_cut"
	// Configure writes a configuration, ConfigureStorm several. Each takes a key and a
	// route away.
	Configure      = "configure"
	ConfigureStorm = "configure_storm"
	// CentreClose takes a data centre out of service.
	CentreClose = "centre_close"
	// RolloutGood and RolloutBad order roll-outs.
	RolloutGood = "rollout_good"
	RolloutBad  = "rollout_bad"
	// Burst doubles the callers' requests, Leave makes them leave early. Surge adds many callers
	// for the length of the step, and once more some seconds later.
	Burst = "burst"
	Leave = "leave"
	Surge = "surge"
	// RequestsCrash makes some of the callers' requests crash the endpoints that run them.
	RequestsCrash = "requests_crash"
)

const (
	maxSeries = 4
	// maxGap bounds the time between the steps of a series, maxPause that between series.
	maxGap   = 700 * time.Millisecond
	maxPause = 2500 * time.Millisecond
	// fewKinds and moreKinds give the number of kinds of most schedules: fewKinds, and up
	// to moreKinds more. One schedule in allEvery has all kinds.
	fewKinds, moreKinds = 3, 8
	allEvery            = 4
	// seedStream is the second part of the seed of the generator, crashStream that of the one
	// of steps of RequestsCrash, extraStream that of the one of extraChoices, and replaceStream
	// that of the one of replacements. These are drawn apart, so that the other steps of a seed
	// stay the same. One schedule in crashEvery has a step of RequestsCrash.
	seedStream    = 0x5eed
	crashStream   = 0xdead
	extraStream   = 0x4444
	replaceStream = 0xb01d
	crashEvery    = 3
	// linkFaults is the number of faults of links in the first linkFaultSpan of a
	// replacement.
	linkFaults    = 3
	linkFaultSpan = 6 * time.Second
)

type (
	// Step is one fault or change of a schedule.
	Step struct {
		// At is the time from the beginning of the schedule.
		At   time.Duration
		Kind string
		// Target is the index of a daemon or of an endpoint.
		Target int
		// Length is how long the fault lasts.
		Length time.Duration
		// Draw is a number from 0 to 99 that decides details of the step.
		Draw int
	}

	// Size is what a schedule is drawn for.
	Size struct {
		Daemons, Endpoints int
		Duration           time.Duration
		// Kinds limits the kinds of steps; empty means all.
		Kinds []string
		// Replace adds replacements of the daemons by those of another program.
		Replace bool
	}

	// extraChoice is a choice of which one schedule in every has a number of steps.
	extraChoice struct {
		choice
		every, steps int
	}

	// choice is a kind of step with its weight and the bounds of its length.
	choice struct {
		kind              string
		weight            int
		shortest, longest time.Duration
	}
)

// crashChoice is the choice of RequestsCrash.
var crashChoice = choice{RequestsCrash, 1, 8 * time.Second, 12 * time.Second}

// extraChoices are drawn apart from the others.
var extraChoices = []extraChoice{
	{choice{EndpointRest, 1, time.Second, 6 * time.Second}, 3, 4},
	{choice{EndpointsStop, 1, 2 * time.Second, 7 * time.Second}, 4, 2},
	{choice{EndpointsShed, 1, time.Second, 5 * time.Second}, 4, 2},
	{choice{Surge, 1, 500 * time.Millisecond, 2500 * time.Millisecond}, 4, 2},
}

// replaceChoices are the replacements of a schedule, in their order, with the bounds of the
// pause between the end of a daemon and its start.
var replaceChoices = []choice{
	{DaemonsUpgrade, 1, 100 * time.Millisecond, 800 * time.Millisecond},
	{DaemonsDowngrade, 1, 100 * time.Millisecond, 800 * time.Millisecond},
}

// choices are the kinds that are drawn, beside crashChoice, extraChoices and
// replaceChoices.
var choices = []choice{
	{DaemonTerm, 5, 100 * time.Millisecond, 2 * time.Second},
	{DaemonKill, 4, 100 * time.Millisecond, 2 * time.Second},
	{DaemonStop, 4, 200 * time.Millisecond, 4 * time.Second},
	{DaemonHup, 2, 0, 0},
	{DaemonsKill, 1, 200 * time.Millisecond, time.Second},
	{DaemonsRoll, 1, 300 * time.Millisecond, time.Second},
	{EndpointCrash, 4, 200 * time.Millisecond, 3 * time.Second},
	{EndpointSwap, 2, 2 * time.Second, 4 * time.Second},
	{EndpointDrain, 4, 2500 * time.Millisecond, 7 * time.Second},
	{EndpointVanish, 3, 2500 * time.Millisecond, 7 * time.Second},
	{EndpointStop, 3, 200 * time.Millisecond, 4 * time.Second},
	{EndpointFault, 5, time.Second, 5 * time.Second},
	{EndpointCut, 2, 200 * time.Millisecond, 4 * time.Second},
	{StoreDown, 2, 200 * time.Millisecond, 9 * time.Second},
	{StoreReset, 1, 200 * time.Millisecond, 4 * time.Second},
	{StoreSlow, 2, 500 * time.Millisecond, 5 * time.Second},
	{StoreLost, 1, 500 * time.Millisecond, 4 * time.Second},
	{StoreRefuse, 3, 500 * time.Millisecond, 9 * time.Second},
	{StoreForget, 3, 0, 0},
	{StoreSilence, 1, 0, 0},
	{StoreGarble, 1, 500 * time.Millisecond, 3 * time.Second},
	{StoreRestore, 3, 200 * time.Millisecond, 3 * time.Second},
	{LinkCut, 2, 200 * time.Millisecond, 5 * time.Second},
	{LinkCutIn, 2, 200 * time.Millisecond, 5 * time.Second},
	{LinkCutStore, 3, 200 * time.Millisecond, 9 * time.Second},
	{LinkCutPeers, 2, 200 * time.Millisecond, 9 * time.Second},
	{LinkSlow, 2, 500 * time.Millisecond, 4 * time.Second},
	{LinkReset, 3, 0, 0},
	{LinkSilence, 2, 0, 0},
	{Configure, 6, 0, 0},
	{ConfigureStorm, 2, 0, 0},
	{CentreClose, 3, 2 * time.Second, 12 * time.Second},
	{RolloutGood, 2, 6 * time.Second, 8 * time.Second},
	{RolloutBad, 2, 6 * time.Second, 8 * time.Second},
	{Burst, 2, 500 * time.Millisecond, 3 * time.Second},
	{Leave, 2, 500 * time.Millisecond, 3 * time.Second},
}

// Plan draws a schedule: series of steps that follow each other closely and overlap. Most
// schedules have steps of a few kinds, so that some daemons are undisturbed at times.
func Plan(seed uint64, size Size) []Step {
	random := rand.New(rand.NewPCG(seed, seedStream))
	allowed := allowedChoices(random, size)
	total := 0
	for _, c := range allowed {
		total += c.weight
	}
	steps := slices.Concat(crashSteps(seed, size), extraSteps(seed, size), replaceSteps(seed, size))
	if total == 0 {
		sortSteps(steps)
		return steps
	}
	at := draw(random, 0, maxPause)
	for at < size.Duration {
		for range 1 + random.IntN(maxSeries) {
			c := pick(random, allowed, total)
			s := Step{At: at, Kind: c.kind, Length: draw(random, c.shortest, c.longest), Draw: random.IntN(100)}
			s.Target = random.IntN(size.Daemons)
			if isEndpoint(c.kind) {
				s.Target = random.IntN(size.Endpoints)
			}
			if at < size.Duration {
				steps = append(steps, s)
			}
			at += draw(random, 0, maxGap)
		}
		at += draw(random, 0, maxPause)
	}
	sortSteps(steps)
	return steps
}

func sortSteps(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// crashSteps returns the steps of RequestsCrash of a schedule, one at most.
func crashSteps(seed uint64, size Size) []Step {
	random := rand.New(rand.NewPCG(seed, crashStream))
	wanted := random.IntN(crashEvery) == 0
	if len(size.Kinds) > 0 {
		wanted = slices.Contains(size.Kinds, RequestsCrash)
	}
	if !wanted {
		return nil
	}
	return []Step{{
		At: draw(random, 0, size.Duration/2), Kind: RequestsCrash, Length: draw(random, crashChoice.shortest, crashChoice.longest), Draw: random.IntN(100),
	}}
}

// extraSteps returns the steps of extraChoices of a schedule.
func extraSteps(seed uint64, size Size) []Step {
	random := rand.New(rand.NewPCG(seed, extraStream))
	var steps []Step
	for _, c := range extraChoices {
		wanted := random.IntN(c.every) == 0
		if len(size.Kinds) > 0 {
			wanted = slices.Contains(size.Kinds, c.kind)
		}
		targets := size.Daemons
		if isEndpoint(c.kind) {
			targets = size.Endpoints
		}
		for range c.steps {
			s := Step{
				At: draw(random, 0, size.Duration), Kind: c.kind, Target: random.IntN(targets),
				Length: draw(random, c.shortest, c.longest), Draw: random.IntN(100),
			}
			if wanted {
				steps = append(steps, s)
			}
		}
	}
	return steps
}

// replaceSteps returns the replacements of a schedule, an upgrade in its first quarter and a
// downgrade in its third, each with faults of links meanwhile. All kinds of these that Kinds
// allows are drawn, whatever few kinds the other steps have.
func replaceSteps(seed uint64, size Size) []Step {
	if !size.Replace {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, replaceStream))
	allowed := func(kind string) bool { return len(size.Kinds) == 0 || slices.Contains(size.Kinds, kind) }
	links := slices.DeleteFunc(slices.Clone(choices), func(c choice) bool { return !isLink(c.kind) || !allowed(c.kind) })
	var steps []Step
	for i, c := range replaceChoices {
		begin := size.Duration * time.Duration(i) / time.Duration(len(replaceChoices))
		at := begin + draw(random, 0, size.Duration/4)
		s := Step{At: at, Kind: c.kind, Target: random.IntN(size.Daemons), Length: draw(random, c.shortest, c.longest), Draw: random.IntN(100)}
		if !allowed(c.kind) {
			continue
		}
		steps = append(steps, s)
		for range linkFaults {
			if len(links) == 0 {
				break
			}
			link := links[random.IntN(len(links))]
			steps = append(steps, Step{
				At: min(at+draw(random, 0, linkFaultSpan), size.Duration-1), Kind: link.kind, Target: random.IntN(size.Daemons),
				Length: draw(random, link.shortest, link.longest), Draw: random.IntN(100),
			})
		}
	}
	return steps
}

// allowedChoices returns the choices of one schedule.
func allowedChoices(random *rand.Rand, size Size) []choice {
	allowed := slices.Clone(choices)
	if len(size.Kinds) > 0 {
		return slices.DeleteFunc(allowed, func(c choice) bool { return !slices.Contains(size.Kinds, c.kind) })
	}
	if random.IntN(allEvery) == 0 {
		return allowed
	}
	random.Shuffle(len(allowed), func(i, k int) { allowed[i], allowed[k] = allowed[k], allowed[i] })
	return allowed[:fewKinds+random.IntN(moreKinds+1)]
}

// String returns the step as a line of a schedule.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s %-16s target %d, length %.2f s, draw %d", s.At.Seconds(), s.Kind, s.Target, s.Length.Seconds(), s.Draw)
}

// isEndpoint reports whether the target of a kind is an endpoint.
func isEndpoint(kind string) bool {
	return slices.Contains([]string{EndpointCrash, EndpointSwap, EndpointDrain, EndpointVanish, EndpointStop, EndpointFault, EndpointRest, EndpointsStop, EndpointsShed, EndpointCut}, kind)
}

// isLink reports whether a kind is a fault of a daemon's links.
func isLink(kind string) bool {
	return slices.Contains([]string{LinkCut, LinkCutIn, LinkCutStore, LinkCutPeers, LinkSlow, LinkReset, LinkSilence}, kind)
}

// pick draws a choice by weight.
func pick(random *rand.Rand, from []choice, total int) choice {
	n := random.IntN(total)
	for _, c := range from {
		if n < c.weight {
			return c
		}
		n -= c.weight
	}
	return from[len(from)-1]
}

// draw draws a time between two bounds, in milliseconds.
func draw(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	span := int64((longest - shortest) / time.Millisecond)
	return shortest + time.Duration(random.Int64N(span))*time.Millisecond
}
