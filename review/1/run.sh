#!/usr/bin/env bash
# Four of five entry machines are lost for good; later the operator drops a route and adds one.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/balancer ] && [ -x target/agent ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review/harness lost-readers . review/1/record.txt
