package controller

import (
	"context"

	"swiftledge/internal/leader"
	"swiftledge/wire"
)

func (n *Controller) toCloud(f func(context.Context)) {
	select {
	case n.cloudWork <- f:
	default:
		n.log.Debug("cloud calls pile up, one is left out")
	}
}

// cloudCalls is how many cloud calls may be under way at once: one that is slow or
// refused must not hold up the others.
const cloudCalls = 4

func (n *Controller) runCloud(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.cloudWork:
			f(ctx)
		}
	}
}

func (n *Controller) list(ctx context.Context) {
	var all []wire.Machine
	after := ""
	for {
		l, err := n.cloud.List(ctx, after)
		if err != nil {
			n.log.Debug("machine list", "error", err)
			return
		}
		all = append(all, l.Machines...)
		if !l.More || len(l.Machines) == 0 {
			n.leader <- leader.MachinesListed{Machines: all}
			return
		}
		after = l.Machines[len(l.Machines)-1].Name
	}
}
