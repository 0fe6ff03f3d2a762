package balancer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"samphireturn"
)

const (
	// memoryUnit is the unit of memory in encoded loads, in tokens, and backlogUnit that
	// of backlogs, in microseconds.
	memoryUnit  = 64
	backlogUnit = 1000
	// maxEncoded bounds the numbers of an encoded load, so that sums of them don't overflow.
	maxEncoded = 1 << 32
)

type (
	// EndpointKey stands for an endpoint in Loads. Endpoints whose keys are the same, as
	// happens once in some hundred fleets of thousands, count as one there.
	EndpointKey uint32

	// Load is the work in flight of one daemon at one endpoint.
	Load struct {
		Requests, MemoryTokens int
		// Backlog is the estimated time in microseconds to process the prompts that
		// wait at the endpoint.
		Backlog int64
	}

	// Loads holds the loads of endpoints. It is encoded in about 8 bytes for each, as it
	// is sent several times a second.
	Loads map[EndpointKey]Load
)

// KeyOf returns the key of the endpoint with an id.
func KeyOf(id string) EndpointKey { return EndpointKey(xxhash.Sum64String(id)) }

// Add adds the loads of other daemons.
func (l Loads) Add(other Loads) {
	for key, o := range other {
		sum := l[key]
		sum.Requests += o.Requests
		sum.MemoryTokens += o.MemoryTokens
		sum.Backlog += o.Backlog
		l[key] = sum
	}
}

// MarshalBinary implements encoding.BinaryMarshaler. It rounds to memoryUnit and
// backlogUnit.
func (l Loads) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, len(l)*(4+3*2))
	for key, load := range l {
		data = binary.BigEndian.AppendUint32(data, uint32(key))
		data = appendRounded(data, int64(load.Requests), 1)
		data = appendRounded(data, int64(load.MemoryTokens), memoryUnit)
		data = appendRounded(data, load.Backlog, backlogUnit)
	}
	return data, nil
}

// appendRounded appends a number that is not negative in a unit.
func appendRounded(data []byte, n, unit int64) []byte {
	return binary.AppendUvarint(data, uint64((max(n, 0)+unit/2)/unit))
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *Loads) UnmarshalBinary(data []byte) error {
	*l = make(Loads)
	for len(data) > 0 {
		if len(data) < 4 {
			return errors.New("loads are cut off")
		}
		key := EndpointKey(binary.BigEndian.Uint32(data))
		data = data[4:]
		var numbers [3]int64
		for i, unit := range []int64{1, memoryUnit, backlogUnit} {
			n, size := binary.Uvarint(data)
			if size <= 0 || n > maxEncoded {
				return errors.New("loads are invalid")
			}
			numbers[i], data = int64(n)*unit, data[size:]
		}
		(*l)[key] = Load{Requests: int(numbers[0]), MemoryTokens: int(numbers[1]), Backlog: numbers[2]}
	}
	return nil
}

// InFlight returns the number of requests that all daemons have in flight at an
// endpoint, as far as this daemon knows.
func (b *Balancer) InFlight(h *samphireturn.Host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(h)
	return e.local.Requests + e.remote.Requests
}

// LocalLoads returns this daemon's loads.
func (b *Balancer) LocalLoads() Loads {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(Loads)
	for id, e := range b.endpoints {
		if e.local != (Load{}) {
			all[KeyOf(id)] = e.local
		}
	}
	return all
}

// SetRemoteLoads replaces the summed loads of all other daemons.
func (b *Balancer) SetRemoteLoads(all Loads) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	b.rooms.hearsOthers = len(all) > 0
	for id, e := range b.endpoints {
		e.remote, e.remoteAt = all[KeyOf(id)], now
	}
}
