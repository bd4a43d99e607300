package intake

import "time"

// Prices, sizes and times that Gates count with.
const (
	ConnectionBytes  = 64 << 10               // of a connection: goroutines, buffers, a usual header, and what the kernel holds of it
	HeaderBytes      = 256 << 10              // of a header beyond UsualHeader: thousands of short fields, each with a key and a list
	UsualHeader      = 4 << 10                // bytes that a header has without a reservation
	BodyPrice        = 3                      // bytes reserved for each byte of a body: itself, what is decoded from it, and its record
	SmallReservation = 16 << 10 * BodyPrice   // up to this size a reservation may use the last eighth of the bytes
	GracePeriod      = 250 * time.Millisecond // for which nothing gives way
	StartTime        = 2 * time.Second        // after which a request must arrive at MinRate
	MinRate          = 1 << 10                // bytes a second, averaged since StartTime
)

// Shares of a process's limits. What remains is for the state, the store, workers and files.
const (
	callerMemoryShare     = 1.0 / 4 // half of it for connections, half for bodies
	callerDescriptorShare = 1.0 / 8
	peerConnectionShare   = 3.0 / 16 // of memory
	peerMessageShare      = 1.0 / 16
	peerDescriptorShare   = 1.0 / 8
	peerConnectionBytes   = 48 << 10 // goroutines, buffers, and what the kernel holds of it
	probeConnections      = 32       // on the port for readiness
	scrapeConnections     = 16       // on the port for metrics
	probeBytes            = 1 << 20
	fileDescriptors       = 200 // not for sockets
	minConnections        = 16
	// LargestMessage is the size of the largest message between daemons, in bytes: an append of 2 MiB that
	// is relayed to the store, and its framing.
	LargestMessage = 4 << 20
	minBodies      = 1 << 20 // one body of the largest size is always served
)

// Limits are the bounds of a Gate.
type Limits struct {
	Connections int
	Bytes       int64
}

// Machine is what a process may use.
type Machine struct {
	MemoryBytes int64
	Descriptors int // 0 is unknown
}

// Ports are the limits of a process's ports.
type Ports struct{ Callers, Peers, Ready, Metrics Limits }

// Divide returns the limits that follow from a machine.
func Divide(m Machine) Ports {
	memory := float64(m.MemoryBytes)
	callers, peers := memory*callerMemoryShare/2/ConnectionBytes, memory*peerConnectionShare/peerConnectionBytes
	if m.Descriptors > 0 {
		sockets := float64(m.Descriptors - fileDescriptors)
		callers, peers = min(callers, sockets*callerDescriptorShare), min(peers, sockets*peerDescriptorShare)
	}
	return Ports{
		Callers: Limits{max(minConnections, int(callers)), max(minBodies, int64(memory*callerMemoryShare/2))},
		Peers:   Limits{max(minConnections, int(peers)), max(2*LargestMessage, int64(memory*peerMessageShare))},
		Ready:   Limits{probeConnections, probeBytes},
		Metrics: Limits{scrapeConnections, probeBytes},
	}
}

// ReadUntil returns until when the next byte of a request may arrive that began at a time and of which
// some bytes have been received. It is before the end in any case.
func ReadUntil(began time.Duration, received int64, end time.Duration) time.Duration {
	return min(end, began+StartTime+time.Duration(received)*time.Second/MinRate)
}
