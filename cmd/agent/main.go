// Command agent runs the agent daemon of an upstream VM.
package main

import (
	"io"
	"os"

	"github.com/nutmegtrack/nutmegtrack/agent"
	"github.com/nutmegtrack/nutmegtrack/platform"
	"github.com/nutmegtrack/nutmegtrack/process"
)

func main() {
	os.Exit(process.Main("agent", "layer-4 load balancer: daemon of an upstream VM", func(file string, w io.Writer) int {
		return agent.Run(file, w, platform.AgentEnvironments)
	}))
}
