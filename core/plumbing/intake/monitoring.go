package intake

import (
	"net/http"
	"time"
)

// The limits of an address for monitoring.
const (
	monitoringConnections = 32
	monitoringHead        = 4 << 10
	// monitoringTimeout is how long a client may take to send a request or to read the response, and
	// monitoringIdle how long it may leave a connection unused.
	monitoringTimeout = 10 * time.Second
	monitoringIdle    = 30 * time.Second
)

// Monitoring returns the limits of an address for readiness or metrics.
func Monitoring(name string) Limits {
	return Limits{Name: name, Connections: monitoringConnections, HeadBytes: monitoringHead}
}

// MonitoringServer returns a server for such an address.
func MonitoringServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: monitoringTimeout, ReadTimeout: monitoringTimeout,
		WriteTimeout: monitoringTimeout, IdleTimeout: monitoringIdle,
	}
}
