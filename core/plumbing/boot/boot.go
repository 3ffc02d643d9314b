// Package boot holds what a process on the users' platform is told when it starts, in the words
// of this project.
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

// Settings are what the platform tells a process when it starts.
type Settings struct {
	// Instance is the name of the instance that the process runs on.
	Instance string
	// IP is the address of the instance, Zone its availability zone.
	IP   netip.Addr
	Zone string
	// Callers and Ready are where the callers' requests and the balancer's
	// readiness checks arrive; both are the zero value on a target's instance.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	// PortFirst and PortLast bound the ports that instances may use among
	// themselves. They are the same on all instances.
	PortFirst, PortLast uint16
	// Target is the address of the server on the same instance, and Service
	// the service that it belongs to; both are empty on other instances.
	Target  netip.AddrPort
	Service string
	// MemoryBytes is the memory at which the process is killed.
	MemoryBytes int64
	// LinkBytesPerSecond is how many bytes a second the instance's link carries; 0 if that is not
	// said.
	LinkBytesPerSecond float64
	// Heartbeat is how often a server writes its entry into the store.
	Heartbeat time.Duration
	Store     Store
	Bounds    Bounds
}

// Store says where the metadata store is and what it takes.
type Store struct {
	Addr netip.AddrPort
	// WritesPerSecond and ReadsPerSecond are shared by all instances.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Bounds are the figures of the deployment's promises.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Drain is how long after its entry says so a leaving server may still be
	// sent requests.
	Drain time.Duration
	// RetryRatio and RetrySlack bound the arrivals at a service beyond the
	// first of each request, in each RetryWindow, of all instances together.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// EnforceFencing says that servers refuse orders with an old fencing number.
	EnforceFencing bool
}

// Field is a field of the settings file that is read.
type Field struct {
	Name string
	// Want is what it must hold.
	Want     string
	Meaning  string
	Optional bool
}

// Source is where the settings come from.
type Source interface {
	// Load reads and checks the settings of this process.
	Load() (Settings, error)
	// Parse decodes and checks settings that stand in a file.
	Parse(file string, data []byte) (Settings, error)
	// Fields returns the fields that are read.
	Fields() []Field
}
