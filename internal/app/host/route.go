package host

import (
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// Target returns the partition that a call is for, or "" if it names none.
func PartitionOf(request *peerpb.Request) model.PartitionID {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_AdmitQuick:
		return teamPartition(body.AdmitQuick.GetTeam())
	case *peerpb.Request_ExecuteQuick:
		return model.PartitionID(body.ExecuteQuick.GetPermit().GetPartition())
	case *peerpb.Request_FinishQuick:
		return teamPartition(body.FinishQuick.GetTeam())
	case *peerpb.Request_SubmitJob:
		return teamPartition(body.SubmitJob.GetJob().GetTeam())
	case *peerpb.Request_GetJob:
		return teamPartition(body.GetJob.GetTeam())
	case *peerpb.Request_CancelJob:
		return teamPartition(body.CancelJob.GetTeam())
	case *peerpb.Request_OfferTasks:
		return model.PartitionID(body.OfferTasks.GetPartition())
	case *peerpb.Request_EndGang:
		return model.PartitionID(body.EndGang.GetPartition())
	case *peerpb.Request_StopTasks:
		return model.PartitionID(body.StopTasks.GetPartition())
	case *peerpb.Request_ReleasePermits:
		return teamPartition(body.ReleasePermits.GetTeam())
	case *peerpb.Request_UsageQuery:
		return model.PartitionID(body.UsageQuery.GetPartition())
	default:
		return ""
	}
}

func teamPartition(team string) model.PartitionID {
	return model.TeamPartition(model.TeamID(team))
}

// Refusal returns the response of the right type that refuses the call.
func Refusal(request *peerpb.Request, refusal *peerpb.Refusal) *peerpb.Response {
	switch request.GetBody().(type) {
	case *peerpb.Request_AdmitQuick:
		return &peerpb.Response{Body: &peerpb.Response_AdmitQuick{
			AdmitQuick: &peerpb.AdmitQuickReply{Refusal: refusal},
		}}
	case *peerpb.Request_ExecuteQuick:
		return refuseQuick(request.GetExecuteQuick(), refusal)
	case *peerpb.Request_SubmitJob:
		return &peerpb.Response{Body: &peerpb.Response_SubmitJob{
			SubmitJob: &peerpb.SubmitJobReply{Refusal: refusal},
		}}
	case *peerpb.Request_GetJob, *peerpb.Request_CancelJob:
		return &peerpb.Response{Body: &peerpb.Response_JobStatus{
			JobStatus: &peerpb.JobStatus{Refusal: refusal},
		}}
	case *peerpb.Request_OfferTasks:
		return &peerpb.Response{Body: &peerpb.Response_OfferTasks{
			OfferTasks: &peerpb.OfferTasksReply{Refusal: refusal},
		}}
	case *peerpb.Request_UsageQuery:
		return &peerpb.Response{Body: &peerpb.Response_Usage{
			Usage: &peerpb.UsageReply{
				Partition: request.GetUsageQuery().GetPartition(),
				Refusal:   refusal,
			},
		}}
	default:
		return Ack(refusal)
	}
}

func refuseQuick(call *peerpb.ExecuteQuick, refusal *peerpb.Refusal) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_ExecuteQuick{
		ExecuteQuick: &peerpb.ExecuteQuickReply{
			RequestId: call.GetRequestId(),
			Attempt:   call.GetAttempt(),
			Outcome:   string(model.OutcomeNotRun),
			Refusal:   refusal,
		},
	}}
}

// Ack returns an acknowledgement, or a refusal if that is not nil.
func Ack(refusal *peerpb.Refusal) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Ack{
		Ack: &peerpb.Ack{Refusal: refusal},
	}}
}
