package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

const (
	timingRuns = 5 // repetitions of each timing
	testTeam   = model.TeamID("team")
	testRack   = model.PartitionID("rack/r")
	testEpoch  = model.Epoch(1)
)

var taskSize = model.Resources{MilliCPU: 1000, MemoryMiB: 1024}

// jobRecord returns the encoded JobAccepted record of the i-th job, or nil if it
// cannot be encoded.
func jobRecord(i int) []byte {
	job := model.Job{
		ID:              model.JobID(fmt.Sprintf("01HZZZZZZZZZZZZZZZZZ%06d", i)),
		Team:            testTeam,
		Kind:            model.WorkBatch,
		Tasks:           1,
		Size:            taskSize,
		DeclaredRunTime: time.Minute,
		Template:        "layout",
	}
	message, err := proto.Marshal(convert.JobPB(job))
	if err != nil {
		return nil
	}
	data, err := proto.Marshal(&logpb.JournalRecord{
		Version: journal.Version,
		Id:      fmt.Sprintf("01HZZZZZZZZZZZZZZZZZ%06d", i),
		Body:    &logpb.JournalRecord_JobAccepted{JobAccepted: &logpb.JobAccepted{Job: message}},
	})
	if err != nil {
		return nil
	}
	return data
}

// newJournal returns a journal with the given number of open jobs.
func newJournal(jobs int) *journal.Fold {
	fold := journal.NewFold()
	for i := range jobs {
		fold.Apply(jobRecord(i))
	}
	return fold
}

// journalMemory measures the memory that every scheduler uses for each open job.
func journalMemory() Line {
	return measure("journal memory", "B/open job", []int{5000, 10000, 20000, 40000}, func(n int) float64 {
		return heapUsed(func() any { return newJournal(n) })
	})
}

// journalTime measures the CPU time that every scheduler spends on each record.
func journalTime() Line {
	return measure("journal time", "ns/record", []int{10000, 20000, 40000}, func(n int) float64 {
		records := make([][]byte, n)
		for i := range records {
			records[i] = jobRecord(i)
		}
		return float64(minCPUTime(timingRuns, func() {
			fold := journal.NewFold()
			for _, record := range records {
				fold.Apply(record)
			}
		}))
	})
}

func newTeamState(tasks int) *team.State {
	s := team.New(testTeam, testEpoch)
	s.SetTemplate(model.WorkspaceTemplate{Team: testTeam, ShareWeight: 1, UpperLimit: taskSize.Scale(1 << 30)})
	s.Ledger().Reconcile(testRack, testEpoch, 0, nil, model.Resources{})
	s.FinishRecovery()
	for i := range tasks {
		job := model.Job{ID: model.JobID(fmt.Sprint("j", i)), Team: testTeam, Tasks: 1, Size: taskSize}
		s.AddJob(&journal.JobState{Job: job, Progress: make([]journal.TaskProgress, 1)})
	}
	return s
}

// teamMemory measures the memory that a team's owner uses for each pending or
// running task.
func teamMemory() Line {
	return measure("team owner memory", "B/task", []int{5000, 10000, 20000, 40000}, func(n int) float64 {
		return heapUsed(func() any {
			s := newTeamState(n)
			startAllTasks(s)
			return s
		})
	})
}

func startAllTasks(s *team.State) []team.TaskOffer {
	var offers []team.TaskOffer
	for {
		candidates := s.OfferableJobs(64, time.Hour, time.Time{})
		if len(candidates) == 0 {
			return offers
		}
		for _, c := range candidates {
			offer, err := s.OfferTask(c.Job.ID, testRack, testEpoch, 0)
			if err != nil {
				return offers
			}
			s.ApplyStart(offer.Permit.ID)
			offers = append(offers, offer)
		}
	}
}

// teamTime measures the CPU time that a team's owner spends on a task, from the
// choice of the task to its end.
func teamTime() Line {
	return measure("team owner time", "ns/task", []int{5000, 10000, 20000}, func(n int) float64 {
		states := make([]*team.State, timingRuns)
		for i := range states {
			states[i] = newTeamState(n)
		}
		run := 0
		return float64(minCPUTime(timingRuns, func() {
			s := states[run]
			run++
			for _, o := range startAllTasks(s) {
				s.ApplyEnd(team.AttemptEnd{Permit: o.Permit.ID, Task: o.Task, Attempt: o.Attempt, Done: true})
			}
			s.TakeRecords()
		}))
	})
}

func newWorkerVMs(n int) []model.VM {
	vms := make([]model.VM, n)
	for i := range vms {
		vms[i] = model.VM{
			ID: model.VMID(fmt.Sprint("vm-", i)), Role: model.RoleWorker, Address: fmt.Sprint("10.0.0.1:", i),
			FailureDomain: "domain", Rack: "r", Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 128 << 10},
		}
	}
	return vms
}

// tasksPerTestWorker is the design target's 190,000 running tasks divided by its
// 24,000 workers, rounded up.
const tasksPerTestWorker = 8

func newRack(workers int) (*rack.Rack, []rack.Offer) {
	r := rack.New(rack.Options{})
	r.SetVMs(newWorkerVMs(workers), 0)
	offers := make([]rack.Offer, workers*tasksPerTestWorker)
	for i := range offers {
		id := fmt.Sprint("team.1.", i)
		offers[i] = rack.Offer{
			Permit: model.Permit{ID: id, Team: testTeam, Partition: testRack, Size: taskSize},
			Task:   model.TaskID(fmt.Sprintf("j%d/0", i)), Job: model.JobID(fmt.Sprint("j", i)),
			Size: taskSize, ExpectedRun: time.Minute,
		}
	}
	return r, offers
}

// rackMemory measures the memory that a rack's owner uses for each worker and
// its tasks.
func rackMemory() Line {
	return measure("rack owner memory", "B/worker with 8 tasks", []int{250, 500, 1000, 2000}, func(n int) float64 {
		return heapUsed(func() any {
			r, offers := newRack(n)
			r.PlaceBatch(offers, 0)
			return r
		})
	})
}

// rackTime measures the CPU time that a rack's owner spends on placing and
// ending a task, including the construction of the rack and its offers.
func rackTime() Line {
	return measure("rack owner time", "ns/task placed and ended", []int{4000, 8000, 16000}, func(n int) float64 {
		return float64(minCPUTime(timingRuns, func() {
			r, offers := newRack(n / tasksPerTestWorker)
			for _, d := range r.PlaceBatch(offers, 0) {
				r.Started(d.Offer.Permit.ID)
				r.Ended(d.Offer.Permit.ID, rack.ResultDone, 0)
			}
		}))
	})
}

// configMemory measures the memory that every process uses for each template
// and its key.
func configMemory() Line {
	return measure("configuration memory", "B/template and key", []int{250, 500, 1000, 2000}, func(n int) float64 {
		return heapUsed(func() any {
			fold := config.NewFold()
			for i, record := range configRecords(n) {
				fold.Apply(uint64(i+1), record)
			}
			return fold
		})
	})
}

// configTime measures how the CPU time that every process spends on one
// configuration change, including the snapshot, grows with the number of templates.
func configTime() Line {
	return measure("configuration time", "ns/change per template kept", []int{250, 500, 1000, 2000}, func(n int) float64 {
		records := configRecords(n)
		total := minCPUTime(timingRuns, func() {
			fold := config.NewFold()
			for i, record := range records {
				fold.Apply(uint64(i+1), record)
				fold.Snapshot()
			}
		})
		return float64(total) / float64(len(records))
	})
}

// configRecords returns the records that publish n templates and issue a key for
// each.
func configRecords(n int) [][]byte {
	var records [][]byte
	for i := range n {
		id := model.TeamID(fmt.Sprint("team-", i))
		template := model.WorkspaceTemplate{
			Team: id, Kinds: []model.WorkKind{model.WorkBatch}, ShareWeight: 1, UpperLimit: taskSize.Scale(100), MaxQueued: 1000,
		}
		hash := make([]byte, 32)
		hash[0], hash[1] = byte(i), byte(i>>8)
		for j, change := range []config.Change{
			config.PublishTemplate(template),
			config.IssueKey(id, config.KeyID(fmt.Sprintf("01HZZZZZZZZZZZZZZZZZ%06d", i)), hash),
		} {
			data, err := change.Encode(fmt.Sprintf("01HZZZZZZZZZZZZZZZ%06d%02d", i, j), 0)
			if err == nil {
				records = append(records, data)
			}
		}
	}
	return records
}

// ownershipMemory measures the memory that every process uses for each
// partition.
func ownershipMemory() Line {
	return measure("ownership memory", "B/partition", []int{1000, 2000, 4000, 8000}, func(n int) float64 {
		return heapUsed(func() any { return newOwnershipState(n) })
	})
}

// newOwnershipState returns a state in which one member has claimed n partitions.
func newOwnershipState(n int) *ownership.State {
	state := ownership.NewState(0)
	state.Apply(0, ownership.NewRecord("join", &logpb.Join{Member: "m", Address: "10.0.0.1:1", FailureDomain: "d"}))
	claim := &logpb.Claim{Member: "m"}
	for i := range n {
		id := string(model.RackPartition(fmt.Sprint("domain-", i)))
		claim.Partitions = append(claim.Partitions, &logpb.PartitionClaim{Partition: id})
	}
	state.Apply(1, ownership.NewRecord("claim", claim))
	return state
}

// renewalTime measures the CPU time that every process spends on each renewal of
// any member.
func renewalTime() Line {
	return measure("renewal time", "ns/renewal", []int{50000, 100000, 200000}, func(n int) float64 {
		data, err := proto.Marshal(ownership.NewRecord("01HZZZZZZZZZZZZZZZZZ000000", &logpb.Renewal{Member: "m", ReadNext: 1}))
		if err != nil {
			return 0
		}
		return float64(minCPUTime(timingRuns, func() {
			state := newOwnershipState(1000)
			for i := range n {
				state.Apply(uint64(i+2), ownership.Decode(data))
			}
		}))
	})
}
