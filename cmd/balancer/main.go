// Command balancer runs the balancer daemon of an entry VM.
package main

import (
	"os"

	"github.com/nutmegtrack/nutmegtrack/balancer"
	"github.com/nutmegtrack/nutmegtrack/process"
)

func main() {
	os.Exit(process.Main("balancer", "layer-4 load balancer: daemon of an entry VM", balancer.Run))
}
