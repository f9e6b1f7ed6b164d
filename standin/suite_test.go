package standin_test

import (
	"testing"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
)

func TestStandin(t *testing.T) { spec.Run(t, "standin") }
