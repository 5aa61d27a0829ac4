#!/usr/bin/env bash
# Verifies each model and its mutants; a mutant is the model with one guard removed.
# Fails if a model has an error, or if the error of a mutant is not found.
set -u
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# verify MODEL [MUTANT] prints the report of the verifier that spin generates. MUTANT
# is the preprocessor symbol that removes the guard.
verify() {
  (cd "$work" && rm -f pan* && spin ${2:+-D$2} -a "$OLDPWD/$1" >spin.out 2>&1 &&
    gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c && timeout 60 ./pan -m200000) 2>&1
}
# check_model MODEL MUTANT... prints one result line for the model and one for each
# mutant.
check_model() {
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

check_model tickets.pml MUTANT_RECORD MUTANT_HANDOVER MUTANT_EXPIRED
check_model config.pml MUTANT_ACCEPT MUTANT_ROUND
check_model hops.pml MUTANT_BUDGET MUTANT_VISITED
exit "$failed"
