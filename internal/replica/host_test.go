package replica

import (
	"testing"
)

// The VM that leads is lost right after it acknowledged a change. Another one
// leads, has the change, and goes on; the lost one comes back and catches up.
func TestLeaderIsLost(t *testing.T) {
	c := start(t, 3, 3, nil)
	c.change("first")
	lost := c.leader()
	lost.kill()
	c.change("second")
	for _, v := range c.others(lost) {
		c.expect(v, "first")
		c.expect(v, "second")
	}
	c.restart(lost)
	c.expect(lost, "first")
	c.expect(lost, "second")
}
