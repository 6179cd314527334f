package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestConfirmations covers a version that was late at some nodes, where nothing told whether the leader
// sent it late or the nodes had it late.
func TestConfirmations(t *testing.T) {
	c := newConfirmations()
	now := time.Unix(100, 0)
	after := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	c.committed(7, now)
	c.committed(7, after(50))
	c.sent("a", after(10))
	c.sent("b", after(20))
	_, took, late := c.confirmed("a", 7, after(30))
	must.False(t, late)
	must.Eq(t, 30*time.Millisecond, took)
	_, _, late = c.confirmed("a", 7, after(5000))
	must.False(t, late, must.Sprint("confirmed once"))
	_, _, late = c.confirmed("b", 6, after(1500))
	must.False(t, late, must.Sprint("has the version before"))
	sent, took, late := c.confirmed("b", 7, after(1600))
	must.True(t, late)
	must.Eq(t, 20*time.Millisecond, sent)
	must.Eq(t, 1600*time.Millisecond, took)
	must.Eq(t, 1600*time.Millisecond, c.slowest)

	c.sent("c", after(1700))
	c.committed(8, after(2000))
	_, _, late = c.confirmed("c", 8, after(9000))
	must.False(t, late, must.Sprint("sent before the commit"))
	must.Zero(t, c.slowest)
}
