package demo

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/nutmegtrack/nutmegtrack/examples"
)

// patchOp is one operation of a JSON patch (RFC 6902).
type patchOp struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// fillTemplate sets fields, which are named by their JSON pointers, of a JSON text with
// comments: a settings template or a list. It keeps the comments.
func fillTemplate(src []byte, fields map[string]any) ([]byte, error) {
	tree, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrap(err, "JSON with comments")
	}
	var ops []patchOp
	for _, path := range slices.Sorted(maps.Keys(fields)) {
		ops = append(ops, patchOp{Op: "add", Path: path, Value: fields[path]})
	}
	patch, err := json.Marshal(ops)
	if err != nil {
		return nil, errors.Wrap(err, "JSON fields")
	}
	if err := tree.Patch(patch); err != nil {
		return nil, errors.Wrap(err, "JSON with comments")
	}
	return tree.Pack(), nil
}

// writeSettings fills a template, writes it to dir and returns the path.
func writeSettings(dir, template, name string, fields map[string]any) (string, error) {
	src, err := examples.Files.ReadFile(template)
	if err != nil {
		return "", errors.Wrap(err, "settings template")
	}
	filled, err := fillTemplate(src, fields)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, filled, 0o600), "settings file")
}
