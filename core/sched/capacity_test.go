package sched

import (
	"fmt"
	"testing"

	mn "mustardnotch"
)

// BenchmarkQueue measures the time from enqueue to Done for one job by the number
// of customers that have jobs waiting.
func BenchmarkQueue(b *testing.B) {
	for _, customers := range []int{5, 100, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			limits := DefaultLimits()
			limits.Running, limits.Queued = 1, 1<<20
			q := New(mn.NewManualClock(1), limits)
			job := func(i int) *waiter {
				w, err := q.enqueue(Job{Customer: mn.CustomerID(fmt.Sprint(i % customers)), PromptTokens: 500, MaxOutputTokens: 100})
				if err != nil {
					b.Fatal(err)
				}
				return w
			}
			order := []*waiter{job(0)}
			for i := range customers {
				order = append(order, job(i))
			}
			i := customers - 1
			for b.Loop() {
				i++
				order = append(order, job(i))
				order = finishOne(order)
			}
		})
	}
}

// finishOne ends the running job and returns the waiters without it.
func finishOne(order []*waiter) []*waiter {
	for i, w := range order {
		if w.grant != nil {
			w.grant.Done(500, 100)
			order[i] = order[0]
			return order[1:]
		}
	}
	return order
}
