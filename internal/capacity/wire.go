package capacity

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/adapter/workerclient"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// countingListener counts the bytes that its connections transfer in both
// directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// heartbeatBytes measures the bytes that one heartbeat to a worker sends and
// receives, by the number of the worker's tasks.
func heartbeatBytes() Line {
	return measure("heartbeat size", "B/task of a worker", []int{0, 4, 8, 16, 32}, func(n int) float64 {
		report := port.WorkerReport{Clock: time.Hour, Epoch: testEpoch}
		for i := range n {
			report.Tasks = append(report.Tasks, port.TaskStatus{
				Task: model.NewTask("01HZZZZZZZZZZZZZZZZZ000000", i), Attempt: 1, Job: "01HZZZZZZZZZZZZZZZZZ000000",
				Team: testTeam, Permit: "team.1.1", State: port.TaskRunning, Declared: taskSize, Used: taskSize,
			})
		}
		return bytesPerCall(report)
	})
}

// bytesPerCall returns the mean number of bytes that a heartbeat transfers over
// loopback when the worker answers with the report.
func bytesPerCall(report port.WorkerReport) float64 {
	const calls = 50
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	var total atomic.Int64
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(report)
		}),
	}
	go func() { _ = server.Serve(countingListener{Listener: listener, bytes: &total}) }()
	defer func() { _ = server.Close() }()
	client := workerclient.New()
	heartbeat := port.Heartbeat{Epoch: testEpoch, LeaseUntil: time.Hour}
	for range calls {
		if _, err := client.Heartbeat(context.Background(), listener.Addr().String(), heartbeat); err != nil {
			return 0
		}
	}
	return float64(total.Load()) / calls
}

// heartbeatTime measures the CPU time of one heartbeat, of sender and worker
// together.
func heartbeatTime() Line {
	return measure("heartbeat time", "ns/heartbeat, both ends", []int{1000, 2000, 4000}, func(n int) float64 {
		report := port.WorkerReport{Clock: time.Hour, Epoch: testEpoch}
		for i := range tasksPerTestWorker {
			report.Tasks = append(report.Tasks, port.TaskStatus{
				Task: model.NewTask("01HZZZZZZZZZZZZZZZZZ000000", i), Permit: "team.1.1", State: port.TaskRunning, Declared: taskSize,
			})
		}
		return float64(minCPUTime(3, func() { sendHeartbeats(n, report) }))
	})
}

// sendHeartbeats sends n heartbeats over loopback to a server that answers each
// with the report.
func sendHeartbeats(n int, report port.WorkerReport) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var heartbeat port.Heartbeat
			_ = json.NewDecoder(r.Body).Decode(&heartbeat)
			_ = json.NewEncoder(w).Encode(report)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := workerclient.New()
	for range n {
		_, _ = client.Heartbeat(context.Background(), listener.Addr().String(), port.Heartbeat{LeaseUntil: time.Hour})
	}
}

// summaryBytes measures the size in bytes of one partition's summary for another
// member, by the number of free shapes that it lists (its field "room",
// which the unit names).
func summaryBytes() Line {
	return measure("summary size", "B/room listed", []int{0, 2, 4, 8}, func(n int) float64 {
		summary := &peerpb.PartitionSummary{
			Partition: "rack/domain-100", Epoch: 1 << 30, Capacity: convert.ResourcesPB(taskSize.Scale(100)),
			Free: convert.ResourcesPB(taskSize.Scale(50)), LargestFree: convert.ResourcesPB(taskSize),
			LargestVm: convert.ResourcesPB(taskSize.Scale(32)), FailureDomains: []string{"domain"}, Vms: 8,
		}
		for range n {
			summary.Room = append(summary.Room, convert.ResourcesPB(taskSize.Scale(4)))
		}
		return float64(proto.Size(summary))
	})
}

// renewalBytes measures the bytes on the log for each renewal of a member.
func renewalBytes() Line {
	return measure("renewal size", "B/renewal", []int{1, 2, 4}, func(n int) float64 {
		record := ownership.NewRecord("01HZZZZZZZZZZZZZZZZZ000000", &logpb.Renewal{
			Member: "01HZZZZZZZZZZZZZZZZZ000000", ReadNext: 1 << 30,
		})
		return float64(n * proto.Size(record))
	})
}

// journalBytes measures the bytes on the log for each accepted job.
func journalBytes() Line {
	return measure("journal size", "B/accepted job", []int{1, 2, 4}, func(n int) float64 {
		return float64(n * len(jobRecord(0)))
	})
}

// configBytes measures the bytes on the log for each template and its key.
func configBytes() Line {
	return measure("configuration size", "B/template and key", []int{1, 2, 4}, func(n int) float64 {
		total := 0
		for _, record := range configRecords(n) {
			total += len(record)
		}
		return float64(total)
	})
}
