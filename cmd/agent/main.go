// Command agent runs the agent daemon of an upstream VM.
package main

import (
	"os"

	"github.com/nutmegtrack/nutmegtrack/agent"
	"github.com/nutmegtrack/nutmegtrack/process"
)

func main() {
	os.Exit(process.Main("agent", "layer-4 load balancer: daemon of an upstream VM", agent.Run))
}
