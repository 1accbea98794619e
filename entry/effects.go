package entry

import (
	"context"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// execute executes one effect of the state machine. Calls run in goroutines of
// their own, which post the results as events. now is the state machine's time,
// in milliseconds.
func (h *Host) execute(ctx context.Context, e *dispatch.Effect, now int64) {
	switch {
	case e.Append != nil:
		a := e.Append
		h.group.start(ctx, "append", func(ctx context.Context) { h.appendBatch(ctx, a) })
	case e.Heartbeat != nil:
		c := e.Heartbeat
		h.group.start(ctx, "heartbeat", func(ctx context.Context) { h.sendHeartbeat(ctx, c, now) })
	case e.Member != nil:
		c := e.Member
		h.group.start(ctx, "member", func(ctx context.Context) { h.callMember(ctx, c) })
	case e.Small != nil:
		c := e.Small
		h.group.start(ctx, "small", func(ctx context.Context) { h.callSmall(ctx, c, now) })
	case e.Reply != nil:
		h.deliver(*e.Reply)
	case e.Observe != nil:
		h.recordMetric(e.Observe)
	case e.Violation != nil:
		h.Metrics.Count("brokenInvariants", "", "", 1)
		h.Logger.Error("invariant broken", "invariant", e.Violation.Message)
	case e.FetchSnapshot != nil:
		h.Logger.Warn("a snapshot is needed", "why", e.FetchSnapshot.Reason)
		h.restoreReason.Store(&e.FetchSnapshot.Reason)
	}
}

// appendBatch appends a batch of records to the log as one entry.
func (h *Host) appendBatch(ctx context.Context, a *dispatch.Append) {
	data, err := record.Encode(a.Batch)
	if err == nil {
		start := time.Now()
		_, err = h.Log.Append(ctx, logservice.RecordStream, data)
		h.Metrics.Observe("appendTime", "", "", time.Since(start).Milliseconds())
		h.Metrics.Observe("appendRecords", "", "", int64(len(a.Batch)))
	}
	if err != nil {
		h.Metrics.Count("appendErrors", "", "", 1)
	}
	h.post(ctx, dispatch.Event{Appended: &dispatch.Appended{Err: err}})
}

// sendHeartbeat sends a heartbeat to a worker. sentAt is the state machine's time
// of the call, in milliseconds.
func (h *Host) sendHeartbeat(ctx context.Context, c *dispatch.HeartbeatCall, sentAt int64) {
	r, err := h.Worker(c.Address).Heartbeat(ctx, c.Heartbeat)
	h.post(ctx, dispatch.Event{Heartbeat: &dispatch.HeartbeatResult{
		Worker: c.Worker, SentAt: sentAt, Renewed: c.Heartbeat.Renew, Forgotten: c.Heartbeat.Forget, Report: r, Err: err,
	}})
}

// callMember reserves, starts or stops one member of a job at its worker.
func (h *Host) callMember(ctx context.Context, c *dispatch.MemberCall) {
	w := h.Worker(c.Address)
	result := &dispatch.MemberResult{MemberCall: *c}
	switch c.Operation {
	case dispatch.OpReserve:
		result.Report, result.Err = w.Reserve(ctx, c.Order)
	case dispatch.OpStart:
		result.Report, result.Err = w.Start(ctx, upstream.Start{Task: c.Order.Task, Term: c.Order.Term})
	case dispatch.OpStop:
		result.Report, result.Err = w.Stop(ctx, upstream.Stop{
			Task: c.Order.Task, Grace: c.Grace, Term: c.Order.Term, Incarnation: c.Order.Incarnation,
		})
	default:
		result.Err = fault.Newf(fault.Internal, "report this defect", "unknown operation %q", c.Operation)
	}
	h.post(ctx, dispatch.Event{Member: result})
}

// callSmall runs, awaits or stops a small task. The result of a stop is not
// posted, and its error is only counted. sentAt is the state machine's time of the
// call, in milliseconds.
func (h *Host) callSmall(ctx context.Context, c *dispatch.SmallCall, sentAt int64) {
	w := h.Worker(c.Address)
	result := &dispatch.SmallResult{Worker: c.Worker, SentAt: sentAt}
	switch {
	case c.Run != nil:
		result.Task = c.Run.Task
		result.Report, result.Err = w.Run(ctx, *c.Run)
	case c.Await != nil:
		result.Task = c.Await.Task
		result.Report, result.Err = w.Await(ctx, *c.Await)
	case c.Stop != nil:
		if _, err := w.Stop(ctx, *c.Stop); err != nil {
			h.Metrics.Count("stopErrors", "", "", 1)
		}
		return
	}
	h.post(ctx, dispatch.Event{Small: result})
}

// recordMetric records an observation of the state machine as a time or a count.
func (h *Host) recordMetric(o *dispatch.Observation) {
	switch o.Name {
	case "queueTime", "runTime", "completionTime":
		h.Metrics.Observe(o.Name, o.Organisation, o.Class, o.Value)
	default:
		h.Metrics.Count(o.Name, o.Organisation, o.Class, o.Value)
	}
}
