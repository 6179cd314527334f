package tunnel

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/transport/peerwatch"
	"github.com/flamingohaven/flamingohaven/internal/transport/tcpinfo"
)

// TestTunnel_TimesOfEndReadLate guards against cut answers taken for whole since the gateway reads
// their last bytes only when the end is there.
func TestTunnel_TimesOfEndReadLate(t *testing.T) {
	const gap, late = 60 * time.Millisecond, 100 * time.Millisecond
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		_, _ = io.ReadFull(conn, make([]byte, 2))
		_, _ = io.WriteString(conn, "hello")
		time.Sleep(gap)
	})
	_, relay, _ := startRelay(t, upstream.Addr().String())
	conn, _ := dial(t, relay, upstream.Addr().String())
	defer conn.Close()
	_, err := io.WriteString(conn, "go")
	must.NoError(t, err)
	times, known := conn.(peerwatch.Timer).Times()
	must.True(t, known)
	must.False(t, times.EndKnown)
	time.Sleep(gap + late)
	got, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "hello", string(got))
	times, known = conn.(peerwatch.Timer).Times()
	must.True(t, known)
	must.True(t, times.EndKnown)
	must.GreaterEq(t, gap-tcpinfo.Tick(), times.EndGap)
	must.Less(t, gap+late, times.EndGap)
	must.GreaterEq(t, late-gap, times.EndAge)
}

// TestTunnel_TimedLastFrameIsCut checks that the answer is whole once the way of its end has come,
// also if the time of that doesn't.
func TestTunnel_TimedLastFrameIsCut(t *testing.T) {
	last := append(appendLastFrame([]byte{0, 1, 'x'}, EndProper), 0, 0, 0, 50)
	for cut := range endGapBytes + 1 {
		relay := listen(t, func(conn net.Conn) {
			defer conn.Close()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 Connected\r\nTunnel-Frames: 1\r\nTunnel-End-Times: 1\r\n\r\n")
			_, _ = conn.Write(last[:len(last)-cut])
		})
		conn, ended := dial(t, relay.Addr().String(), "10.0.0.1:80")
		got, err := io.ReadAll(conn)
		must.NoError(t, err)
		must.Eq(t, "x", string(got))
		times, _ := conn.(peerwatch.Timer).Times()
		must.Eq(t, cut == 0, times.EndKnown)
		must.Eq(t, cut == 0, times.EndGap == 50*time.Millisecond)
		_ = conn.Close()
		must.Eq(t, EndProper, (<-ended).Upstream)
	}
}

// TestTunnel_RelayThatReadsLate checks that a relay which was held up for long says so.
func TestTunnel_RelayThatReadsLate(t *testing.T) {
	must.Eq(t, endGapLate, endGapOf(peerwatch.Ending{Late: true}))
	now := time.Now()
	must.Eq(t, 250, endGapOf(peerwatch.Ending{LastData: now, At: now.Add(250 * time.Millisecond)}))
	r := &frameReader{from: bufio.NewReader(strings.NewReader("\x00\x01x\x00\x00" + string(rune(EndProper)) + "\xff\xff\xff\xff")), timed: true}
	listener := listen(t, func(net.Conn) {})
	conn, err := connect(t.Context(), listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	tunneled := &tunneled{Conn: conn, from: r}
	got, err := io.ReadAll(tunneled)
	must.NoError(t, err)
	must.Eq(t, "x", string(got))
	times, known := tunneled.Times()
	must.True(t, known)
	must.True(t, times.Late)
	must.False(t, times.EndKnown)
	var pace peerwatch.Pace
	must.True(t, pace.End(tunneled, time.Now()).Late)
}

// TestTunnel_LastFrameForOlderGateways checks that a gateway that didn't ask for the time of the
// end gets the last frame without it.
func TestTunnel_LastFrameForOlderGateways(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		_, _ = io.ReadFull(conn, make([]byte, 2))
		_, _ = io.WriteString(conn, "hello")
	})
	_, relay, _ := startRelay(t, upstream.Addr().String())
	conn, err := connect(t.Context(), relay)
	must.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: a\r\nTunnel-Frames: 1\r\n\r\ngo", upstream.Addr())
	must.NoError(t, err)
	got, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 200 Connected\r\nTunnel-Frames: 1\r\n\r\n\x00\x05hello\x00\x00"+string(rune(EndProper)), string(got))
}
