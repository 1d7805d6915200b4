package sequoiafront_test

import (
	"fmt"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
)

func ExampleNamedByConnection() {
	named := sequoiafront.NamedByConnection(map[string][]string{"Connection": {"close, x-trace", "x-debug"}})
	fmt.Println(named["X-Trace"], named["X-Debug"], named["X-Other"], sequoiafront.HopByHop("Te"), sequoiafront.HopByHop("Host"))
	// Output: true true false true false
}
