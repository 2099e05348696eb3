package coordinator

import (
	"context"
	"errors"
	"time"

	"rosemaryspool.example/adaptor/director"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/fencer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// orderResponseTimeout bounds the wait for an engine's response, counted from the latest time at which the order may be
// sent.
const orderResponseTimeout = 5 * time.Second

// sendOrder sends an order once and notifies the controller of the response.
func (c *Coordinator) sendOrder(ctx context.Context, a controller.SendOrder) {
	event := controller.SendEnded{Order: identifier.OrderID(a.Order.GetOrderId()), Result: fencer.SendNotWritten}
	if u, ok := c.resolver.Find(identifier.UpstreamID(a.Order.GetEngine())); ok && u.Director != nil {
		request := &messenger.OrderRequest{Order: a.Order, Token: uint64(a.Token)}
		callContext, cancel := context.WithDeadline(ctx, a.WriteBy.Add(orderResponseTimeout))
		defer cancel()
		reply, err := u.Director.Order(callContext, request, a.WriteBy)
		event.Reply = reply
		event.Result = classifySend(reply, err)
	}
	event.Now = time.Now()
	c.Notify(event)
}

// classifySend returns whether an order was sent and, if a response arrived, whether the engine accepted it.
func classifySend(reply *messenger.OrderReply, err error) fencer.SendResult {
	switch {
	case errors.Is(err, director.ErrNotSent):
		return fencer.SendNotWritten
	case err != nil:
		return fencer.SendUnknown
	case reply.GetAccepted():
		return fencer.SendAccepted
	default:
		return fencer.SendRefused
	}
}

// readReport requests an engine's report and notifies the controller; the report is nil after a failure.
func (c *Coordinator) readReport(ctx context.Context, a controller.ReadEngine) {
	read := controller.EngineRead{Engine: a.Engine, ReadID: a.ReadID}
	if u, ok := c.resolver.Find(a.Engine); ok && u.Director != nil {
		callContext, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := u.Director.Report(callContext)
		cancel()
		if err == nil {
			read.Report = report
		}
	}
	read.Now = time.Now()
	c.Notify(read)
}
