package route_test

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/route"
)

func Example() {
	views := conf.New()
	table := route.New(mn.NewSystemClock(), views, route.DefaultSettings("tiel-a"))
	_, _, err := table.Route(context.Background(), mn.Work{Pool: "taalpers", Prompt: "check"})
	fmt.Println(mn.CodeOf(err) == mn.NoEndpoint)
	// Output: true
}
