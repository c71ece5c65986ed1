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
	// reservedDescriptors are kept for files, and for connections that this
	// process opens itself.
	reservedDescriptors = 400
	// leastConnections is the least bound of a listener.
	leastConnections = 16
	// defaultDescriptors is assumed where the system does not tell its limit.
	defaultDescriptors = 1024
	// refusedLogInterval is how often refused connections are logged.
	refusedLogInterval = time.Second
)

// reasonTooManyConnections counts connections that were refused.
const reasonTooManyConnections apierr.Reason = "too_many_connections"

// connectionShares gives, by listener, its part of the descriptors that are not
// reserved. The sum of any role's listeners stays below one.
var connectionShares = map[string]float64{
	"peers":     0.35,
	"callers":   0.3,
	"control":   0.25,
	"directory": 0.1,
	"readiness": 0.02,
	"metrics":   0.02,
}

// descriptorLimit gives how many descriptors this process may have open.
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

// connectionBound gives how many connections of a listener may be open at once.
func connectionBound(key string, descriptors int) int {
	return max(leastConnections, int(connectionShares[key]*float64(descriptors-reservedDescriptors)))
}

// refusal answers connections beyond the bound of a listener.
type refusal struct {
	site *Site
	key  string

	mu       sync.Mutex
	count    int // since the last line
	loggedAt time.Time
}

// overloadedAnswer names no replica and no gate, and is made once: refusing must be cheap.
var overloadedAnswer = fmt.Appendf(nil,
	"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

func (r *refusal) refuse(connection net.Conn) {
	_, _ = connection.Write(overloadedAnswer) // the buffer of a new connection takes it
	_ = connection.Close()
	r.site.metrics.Refused(reasonTooManyConnections)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if time.Since(r.loggedAt) < refusedLogInterval {
		return
	}
	r.site.log.Warn("connections refused, the listener's bound is reached", zap.String("listener", r.key), zap.Int("refused", r.count))
	r.count, r.loggedAt = 0, time.Now()
}

// bounded limits the connections of a listener.
func (s *Site) bounded(key string, listener net.Listener) net.Listener {
	limit := connectionBound(key, descriptorLimit(s.settings.Limits.Descriptors))
	r := &refusal{site: s, key: key}
	return sockets.NewBound(listener, limit, r.refuse)
}
