package control

import (
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/testmeter"
)

// BenchmarkCapacity_Heartbeat measures idle heartbeats to one leader over net/rpc
// on loopback sockets, with one connection per node and different numbers of
// nodes. It reports the processor time of both ends together and the bytes of
// both directions.
func BenchmarkCapacity_Heartbeat(b *testing.B) {
	for _, count := range []int{7, 100, 400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			service, _ := newLocalService()
			service.Tick()
			server := rpc.NewServer()
			must.NoError(b, server.RegisterName("Control", service))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(b, err)
			defer listener.Close()
			go serveConns(server, listener)

			var bytes atomic.Int64
			nodes := make([]*fakeNode, count)
			clients := make([]*rpc.Client, count)
			heartbeat := func(i int) {
				sent := time.Now()
				var reply HeartbeatReply
				if err := clients[i].Call("Control.Heartbeat", nodes[i].Heartbeat(0, false), &reply); err != nil {
					b.Fatal(err)
				}
				if _, err := nodes[i].HandleReply(sent, &reply); err != nil {
					b.Fatal(err)
				}
			}
			for i := range count {
				conn, err := net.Dial("tcp", listener.Addr().String())
				must.NoError(b, err)
				nodes[i], clients[i] = benchNode(i), rpc.NewClient(testmeter.Conn{Conn: conn, Bytes: &bytes})
				defer clients[i].Close()
				heartbeat(i)
			}
			for i := range count {
				heartbeat(i)
			}
			startBytes, startCPU := bytes.Load(), testmeter.CPUTime()
			b.ResetTimer()
			for i := range b.N {
				heartbeat(i % count)
			}
			b.ReportMetric(float64((testmeter.CPUTime()-startCPU).Nanoseconds())/1e3/float64(b.N), "cpu-µs/beat")
			b.ReportMetric(float64(bytes.Load()-startBytes)/float64(b.N), "B/beat")
		})
	}
}

// serveConns serves the connections of a listener until it is closed.
func serveConns(server *rpc.Server, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(conn)
	}
}
