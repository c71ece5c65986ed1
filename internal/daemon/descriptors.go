package daemon

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/sockets"
)

const (
	// reservedDescriptors is the number of descriptors reserved for files and for
	// outgoing connections.
	reservedDescriptors = 400
	// minConnections is the minimum connection limit of a listener.
	minConnections = 16
	// defaultDescriptors is assumed if the system's limit cannot be read.
	defaultDescriptors = 1024
	// refusedLogInterval is the minimum interval between log lines about refused
	// connections.
	refusedLogInterval = time.Second
)

// reasonTooManyConnections is the reason under which refused connections are
// counted.
const reasonTooManyConnections apierr.Reason = "too_many_connections"

// connectionShares maps each listener to its share of the unreserved
// descriptors. The shares of the listeners of any one role add up to less than 1.
var connectionShares = map[string]float64{
	"peers":     0.35,
	"callers":   0.3,
	"control":   0.25,
	"directory": 0.1,
	"readiness": 0.02,
	"metrics":   0.02,
}

// descriptorLimit returns how many descriptors this process may have open: the
// setting if positive, else the system's limit.
func descriptorLimit(setting int) int {
	if setting > 0 {
		return setting
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// connectionLimit returns how many connections a listener may have open at once.
func connectionLimit(key string, descriptors int) int {
	return max(minConnections, int(connectionShares[key]*float64(descriptors-reservedDescriptors)))
}

// connectionRefuser refuses connections beyond a listener's limit, and counts and logs them.
type connectionRefuser struct {
	site *Site
	key  string

	mu       sync.Mutex
	count    int // refused since the last log line
	loggedAt time.Time
}

// overloadedResponse is the same for every connection and built once, so that
// refusing stays cheap under overload.
var overloadedResponse = fmt.Appendf(nil,
	"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

func (r *connectionRefuser) refuse(connection net.Conn) {
	_, _ = connection.Write(overloadedResponse) // fits into the send buffer of a new connection, so it does not block
	_ = connection.Close()
	r.site.metrics.Refused(reasonTooManyConnections)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if time.Since(r.loggedAt) < refusedLogInterval {
		return
	}
	r.site.log.Warn("connections refused: the listener's connection limit is reached", zap.String("listener", r.key), zap.Int("refused", r.count))
	r.count, r.loggedAt = 0, time.Now()
}

// limitConnections wraps a listener with its connection limit.
func (s *Site) limitConnections(key string, listener net.Listener) net.Listener {
	limit := connectionLimit(key, descriptorLimit(s.settings.Limits.Descriptors))
	r := &connectionRefuser{site: s, key: key}
	return sockets.NewLimitedListener(listener, limit, r.refuse)
}
