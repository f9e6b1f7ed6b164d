package quota

import (
	"testing"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
)

func TestQuota(t *testing.T) { spec.Run(t, "quota") }
