// Package boot defines the settings that the users' platform gives a process when it starts,
// independent of the platform's own format.
//
// # Usage
//
//	settings, err := source.Load()
//	if err != nil {
//		return err
//	}
//	listen(settings.Callers)
package boot

import (
	"net/netip"
	"time"
)

// Settings are the settings that the platform gives a process when it starts.
type Settings struct {
	// Instance is the name of the instance that the process runs on.
	Instance string
	// IP is the address of the instance, Zone its availability zone.
	IP   netip.Addr
	Zone string
	// Regions holds the region of each availability zone, as far as it is known.
	Regions map[string]string
	// FirstStart says that the whole system starts for the first time: no process of it has run
	// before.
	FirstStart bool
	// Callers and Ready are the listen addresses for callers' requests and for
	// the load balancer's readiness checks; both are the zero value on a target's instance.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	// PortFirst and PortLast are the range of ports that instances may use between
	// themselves. They are the same on all instances.
	PortFirst, PortLast uint16
	// Target is the address of the server on the same instance, and Service
	// the service that it belongs to; both are empty on other instances.
	Target  netip.AddrPort
	Service string
	// MemoryBytes is the memory use at which the process is killed.
	MemoryBytes int64
	// Descriptors is how many file descriptors the process may have; 0 if it is unknown.
	Descriptors int
	// LinkBytesPerSecond is the bandwidth of the instance's network link; 0 if it is
	// unknown.
	LinkBytesPerSecond float64
	// Heartbeat is how often a server writes its entry into the store.
	Heartbeat time.Duration
	Store     Store
	Bounds    Bounds
}

// Store is the address of the metadata store and its rate limits.
type Store struct {
	Addr netip.AddrPort
	// WritesPerSecond and ReadsPerSecond are shared among all instances.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Bounds are the limits that the deployment guarantees.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Drain is how long a server that is shutting down may still be sent requests after
	// its store entry says so.
	Drain time.Duration
	// RetryRatio and RetryBurst limit the attempts at a service beyond the first of
	// each request, in each RetryWindow and for all instances together.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// A cold server tolerates ColdFactor times its rate plus ColdSlack requests in any second,
	// from all instances together.
	ColdFactor float64
	ColdSlack  float64
	// EnforceFencing says that servers reject orders with an outdated fencing token.
	EnforceFencing bool
}

// Field describes a field that is read from the settings file.
type Field struct {
	Name string
	// Want describes the values allowed.
	Want     string
	Meaning  string
	Optional bool
}

// Source reads the settings.
type Source interface {
	// Load reads and validates the settings of this process.
	Load() (Settings, error)
	// Parse decodes and validates the contents of a settings file.
	Parse(file string, data []byte) (Settings, error)
	// Fields returns the fields that are read.
	Fields() []Field
}
