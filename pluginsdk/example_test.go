package pluginsdk_test

import (
	"fmt"
	"reflect"

	"thistlequay/pluginsdk"
)

// This example rejects requests of one tenant that have no body. A plug-in assigns OnRead in an init function.
func Example() {
	pluginsdk.OnRead = func(request pluginsdk.Request) pluginsdk.Verdict {
		if request.Tenant == "hall-nord" && len(request.Body) == 0 {
			return pluginsdk.Verdict{}.Reject(422)
		}
		return pluginsdk.Verdict{}
	}
	empty := pluginsdk.OnRead(pluginsdk.Request{Tenant: "hall-nord"})
	full := pluginsdk.OnRead(pluginsdk.Request{Tenant: "hall-nord", Body: []byte("note=17")})
	fmt.Println(reflect.DeepEqual(empty, pluginsdk.Verdict{}.Reject(422)))
	fmt.Println(reflect.DeepEqual(full, pluginsdk.Verdict{}))
	// Output:
	// true
	// true
}
