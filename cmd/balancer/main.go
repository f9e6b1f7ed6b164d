// Command balancer runs the balancer daemon of an entry VM.
package main

import (
	"io"
	"os"

	"github.com/nutmegtrack/nutmegtrack/balancer"
	"github.com/nutmegtrack/nutmegtrack/platform"
	"github.com/nutmegtrack/nutmegtrack/process"
)

func main() {
	os.Exit(process.Main("balancer", "layer-4 load balancer: daemon of an entry VM", func(file string, w io.Writer) int {
		return balancer.Run(file, w, platform.BalancerEnvironments)
	}))
}
