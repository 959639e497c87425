package peer

import (
	"github.com/VictoriaMetrics/metrics"
)

// counters are shared by all clients and servers with the same metrics set.
type counters struct {
	messagesSent, messagesReceived *metrics.Counter
	bytesSent, bytesReceived       *metrics.Counter
	badFrames, lateAnswers         *metrics.Counter
	overloads, dialErrors          *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		messagesSent:     set.GetOrCreateCounter("balsamhitch_peer_messages_sent_total"),
		messagesReceived: set.GetOrCreateCounter("balsamhitch_peer_messages_received_total"),
		bytesSent:        set.GetOrCreateCounter("balsamhitch_peer_bytes_sent_total"),
		bytesReceived:    set.GetOrCreateCounter("balsamhitch_peer_bytes_received_total"),
		badFrames:        set.GetOrCreateCounter("balsamhitch_peer_bad_frames_total"),
		lateAnswers:      set.GetOrCreateCounter("balsamhitch_peer_late_answers_total"),
		overloads:        set.GetOrCreateCounter("balsamhitch_peer_overloads_total"),
		dialErrors:       set.GetOrCreateCounter("balsamhitch_peer_dial_errors_total"),
	}
}
