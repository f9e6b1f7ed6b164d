package demo

import (
	"bytes"
	"context"
	"os/exec"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// commandTimeout is the timeout for one operator command.
const commandTimeout = 15 * time.Second

// command runs an operator command of nutmegtrack and returns its standard output.
func (f *fleet) command(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var out, problems bytes.Buffer
	cmd := exec.CommandContext(ctx, f.cfg.Executable, args...)
	cmd.Stdout, cmd.Stderr = &out, &problems
	if err := cmd.Run(); err != nil {
		text := strings.TrimSpace(problems.String())
		return out.String(), errors.Wrapf(err, "nutmegtrack %s: %s", strings.Join(args, " "), text)
	}
	return out.String(), nil
}
