package sequoiaevacuation_test

import (
	"fmt"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaevacuation"
)

func ExampleOrders() {
	now := time.Unix(1000, 0)
	o := sequoiaevacuation.New(5 * time.Second)
	o.Apply(now, sequoiaevacuation.Order{Domain: "north", Revision: 17})
	fmt.Println(o.Domains(), o.Closed(now.Add(time.Second), "north"), o.Closed(now.Add(3*time.Second), "north"))
	o.Apply(now.Add(time.Minute), sequoiaevacuation.Order{Domain: "north", Revision: 18, Withdrawn: true})
	fmt.Println(o.Domains(), o.Closed(now.Add(time.Minute), "north"))
	// Output:
	// [north] false true
	// [] false
}
