package sched_test

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/sched"
)

func Example() {
	queue := sched.New(mn.NewSystemClock(), sched.DefaultLimits())
	grant, err := queue.Acquire(context.Background(), sched.Job{Customer: "bank", PromptTokens: 900, MaxOutputTokens: 20})
	if err != nil {
		fmt.Println(err)
		return
	}
	grant.FirstToken()
	fmt.Println("running:", queue.Stats().Running)
	grant.Done(900, 12)
	fmt.Println("running:", queue.Stats().Running)
	// Output:
	// running: 1
	// running: 0
}
