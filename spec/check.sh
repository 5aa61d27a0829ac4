#!/usr/bin/env bash
# Checks each model, then each mutant of it, in which one guard is removed: the
# check must find no error in the first and one in every mutant.
set -u
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# verify MODEL [DEFINE] prints the verifier's report.
verify() {
  (cd "$work" && rm -f pan* && spin ${2:+-D$2} -a "$OLDPWD/$1" >spin.out 2>&1 &&
    gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c && timeout 60 ./pan -m200000) 2>&1
}
check() {
  local model=$1 report
  shift
  report=$(verify "$model")
  if grep -q 'errors: 0' <<<"$report" && ! grep -qE 'max search depth too small|out of memory' <<<"$report"; then
    echo "$model: holds, $(grep -oE '[0-9.e+]+ states, stored' <<<"$report")"
  else
    echo "$model: VIOLATED"; grep -E 'pan:|errors|error' <<<"$report"; failed=1
  fi
  for mutant in "$@"; do
    report=$(verify "$model" "$mutant")
    if grep -qE 'pan:1: assertion violated|errors: [1-9]' <<<"$report"; then
      echo "$model with $mutant: caught"
    else
      echo "$model with $mutant: NOT caught"; tail -3 <<<"$report"; failed=1
    fi
  done
}

check tickets.pml MUTANT_RECORD MUTANT_GIVEUP MUTANT_EXPIRED
check config.pml MUTANT MUTANT_ROUND
check hops.pml MUTANT MUTANT_VISITED
exit "$failed"
