// Package examples contains the settings files and lists of two deployments. Operators
// use them as templates, and the demo starts its processes with settings made from them.
package examples

import "embed"

// Files holds one directory for each deployment: balancer.json, one
// agent-SERVICE.json for each service, customers.json and plans.json.
//
//go:embed kel-impact al-harthy
var Files embed.FS
