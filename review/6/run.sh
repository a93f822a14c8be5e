#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 it does without the disruption.
exec "$(dirname "$0")/../scene-2/run.sh" lost_agent "$(dirname "$0")"
