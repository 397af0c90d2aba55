#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
TROUBLE=${TROUBLE-1} exec "$(dirname "$0")/../run-case.sh" 2
