package cwendpoint

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const orderInterval = time.Second

// OrderSender sends orders to engines, so that they load the models that the
// configuration assigns to them.
type OrderSender struct {
	*cwcommon.Common
	control *cwcontrol.Control
	client  *Client
}

// NewOrderSender returns an order sender that has not started.
func NewOrderSender(common *cwcommon.Common, control *cwcontrol.Control, client *Client) *OrderSender {
	return &OrderSender{Common: common, control: control, client: client}
}

// Run sends orders every orderInterval until ctx is done. It always returns nil.
func (o *OrderSender) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		o.SendOrders(ctx)
		cwcommon.Sleep(ctx, orderInterval)
	}
	return nil
}

// SendOrders computes the orders and sends them. It stops if the accepted
// configuration has changed, which it checks right before each order, since the
// process may have been paused in between.
func (o *OrderSender) SendOrders(ctx context.Context) {
	s := o.control.Snapshot()
	if s.Config == nil || !s.IsReady {
		return
	}
	for _, order := range cwpolicy.ComputeEngineOrders(newOrderInput(s, time.Now())) {
		if latest := o.control.Snapshot(); latest.ConfigTracker.Accepted() != s.ConfigTracker.Accepted() {
			return
		}
		if err := o.client.SendOrder(ctx, order); err != nil {
			o.Log.Warn("order failed", zap.Error(err))
			continue
		}
		o.Log.Info("order sent", zap.String("endpoint", order.Endpoint), zap.String("model", order.Model), zap.Uint64("fence", order.FencingNumber))
	}
}

func newOrderInput(s *cwcontrol.Snapshot, now time.Time) cwpolicy.EngineOrderInput {
	in := cwpolicy.EngineOrderInput{
		Services:      s.Config.Services(),
		FencingNumber: s.ConfigTracker.Accepted().Number,
		IsConfigFresh: s.ConfigTracker.IsConfirmedWithin(now, cwpolicy.OrderConfigMaxAge),
		IsSender:      cwpolicy.IsOrderSender(s.Self.PeerAddress, s.Self.Domain, s.Members, now),
	}
	for i := range s.Endpoints {
		r := &s.Endpoints[i]
		if r.Incarnation == 0 || r.IsLeaving {
			continue
		}
		in.Engines = append(in.Engines, cwpolicy.EngineState{
			Endpoint: r.Address, AssignedModel: r.Pool, LoadedModels: r.LoadedModels, IsLoading: r.IsLoading, HighestFencingNumber: r.FencingNumber,
		})
	}
	return in
}
