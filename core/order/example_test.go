package order_test

import (
	"context"
	"fmt"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/order"
)

// The holder of the control lease changes the role of an engine through the gate
// of its agent.
func Example() {
	r := newFixture(true)
	r.engine.changeTime = 50 * mn.Millisecond
	settings := order.Settings{PollInterval: 5, IdlePollInterval: 5, SettleTime: 10, CallTimeout: 50, PauseTimeout: 1000}
	gate := order.New("run-1", settings, r.clock, r.engine, r.admission, func() bool { return true }, r.log)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { _ = gate.Run(ctx) }()

	lease := &fakeLease{clock: r.clock}
	lease.set(7, r.clock.Now()+mn.Minute)
	issuer := order.NewIssuer(lease, r.clock, 10)
	err := issuer.Change(ctx, gate, toDecode)
	for err != nil && mn.CodeOf(err) == mn.OrderBusy { // The gate is still reading the engine's state.
		err = issuer.Change(ctx, gate, toDecode)
	}
	s, _ := issuer.State(ctx, gate)
	fmt.Println(err, s.State.Role, s.State.FencingToken)
	// Output: <nil> decode 7
}
