#!/usr/bin/env bash
# Plays the script "blip" of review/fleet3 and writes record.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x review/fleet3/bin/fleet3 ] && [ -x target/clementinewell ] || { echo "not built" >&2; exit 2; }
exec review/fleet3/bin/fleet3 blip review/13/record.txt
