#!/usr/bin/env bash
# Runs every check. Tests listed in KNOWN-RED.txt may fail; such failures are
# ignored but printed, together with the list.
set -u
cd "$(dirname "$0")/.."
failed=0
# run_step NAME COMMAND... prints the name, runs the command and records its failure.
run_step() {
  printf '== %s\n' "$1"; shift
  "$@" || { echo "FAILED: $*"; failed=1; }
}
check_format() {
  local unformatted
  unformatted=$(git ls-files -co --exclude-standard '*.go' | grep -Ev '\.(pb|twirp)\.go$' | xargs bin/gofumpt -l) || return 1
  [ -z "$unformatted" ] || { echo "$unformatted"; return 1; }
}
check_lint() {
  local report
  report=$(bin/revive -formatter friendly -set_exit_status ./... 2>&1) || { echo "$report"; return 1; }
}
check_settings_page() { bin/clementinewell settings | diff - docs/CONFIG.md; }
check_generated_code() {
  local output
  output=$(mktemp -d)
  protoc --proto_path=internal/cwproto --go_out="$output" --go_opt=paths=source_relative \
    --twirp_out="$output" --twirp_opt=paths=source_relative peer.proto || return 1
  # The header comments contain the compiler version, which differs between machines.
  for file in peer.pb.go peer.twirp.go; do
    diff <(grep -v '^//' "$output/$file") <(grep -v '^//' "internal/cwproto/$file") || return 1
  done
  rm -rf "$output"
}
check_models() { [ ! -x spec/check.sh ] || spec/check.sh; }
check_examples() { bin/clementinewell check examples/prairie-linepaint && bin/clementinewell check examples/myrtle-gully; }
# Property tests on random fault schedules. The fixed seed makes a failure repeatable.
run_schedules() { go test -count=1 ./internal/cwpolicy ./internal/cwpublished ./internal/cwcrash ./internal/cwplacement ./internal/cwconn -run Schedule -rapid.checks=10000 -rapid.seed=1 -rapid.nofailfile; }
# list_crashed prints the packages of a log whose run crashed, or ended without naming a failed test.
list_crashed() {
  awk '/^--- FAIL/ {named = 1}
    /^(ThreadSanitizer: CHECK failed|SIG[A-Z]+:|fatal error:)/ {crashed = 1}
    /^(ok|FAIL|\?)[ \t]+[^ \t]*\// {
      if ($1 == "FAIL" && (!named || crashed) && $3 ~ /^[0-9.]+s$/) print $2
      named = crashed = 0
    }' "$1"
}
# has_detector_crash reports whether the runtime of the race detector crashed: by a check of its own or
# in its code, for which Go has no stack ("panic:" is a fault of the program).
has_detector_crash() { grep -qE '^(ThreadSanitizer: CHECK failed|SIGSEGV: segmentation violation)' "$1"; }
# forget_crash removes a crash and its packages from a log: another run of them has a result.
forget_crash() {
  local log=$1 package; shift
  sed -i -E '/^(ThreadSanitizer: CHECK failed|SIGSEGV: segmentation violation)/d' "$log"
  for package in "$@"; do sed -i "\|^FAIL[[:space:]]*$package[[:space:]]|d" "$log"; done
}
# run_in_parts runs the tests of a package with the race detector, in several processes one after the
# other, and appends what they print to a log. A part in which the detector crashed is run again.
run_in_parts() {
  local package=$1 parts=$2 log=$3 names pattern part attempt part_log
  part_log=$(mktemp)
  names=$(go test -race -list . "$package" | grep -E '^(Test|Example|Fuzz)') || return 1
  for ((part = 0; part < parts; part++)); do
    pattern=$(awk -v n="$parts" -v part="$part" 'NR % n == part' <<<"$names" | paste -sd'|')
    for attempt in 1 2 3; do
      go test -race -count=1 -timeout 40m -run "^($pattern)\$" "$package" 2>&1 | tee "$part_log"
      [ -n "$(list_crashed "$part_log")" ] && has_detector_crash "$part_log" && [ "$attempt" -lt 3 ] || break
      echo "== race detector crashed; once more with it: part $part of $package"
      forget_crash "$part_log" "$package"
      cat "$part_log" >>"$log"
    done
    cat "$part_log" >>"$log"
  done
}
run_tests() {
  local log failing crashed status attempt
  local raced long=./internal/cwapp again=-race
  log=$(mktemp)
  raced=$(go list ./... | grep -v '/internal/cwapp$')
  # Another run with it may crash again in the longest package.
  [ "$(uname -m)" = aarch64 ] && again=""
  go test -race -count=1 -timeout 40m $raced 2>&1 | tee "$log"
  status=${PIPESTATUS[0]}
  # The runtime of the race detector sometimes crashes. Only packages whose run ended in that way,
  # without a result, are run again.
  for attempt in 1 2; do
    crashed=$(list_crashed "$log")
    [ -n "$crashed" ] && has_detector_crash "$log" || break
    echo "== race detector crashed; once more${again:+ with it}:" $crashed
    forget_crash "$log" $crashed
    go test $again -count=1 -timeout 40m $crashed 2>&1 | tee -a "$log"
    status=${PIPESTATUS[0]}
  done
  # The runtime of the race detector crashes in this package: on arm64 in most runs, on x86-64 in runs
  # of all its tests in one process.
  if [ "$(uname -m)" = aarch64 ]; then
    echo "== on this machine without the race detector: $long"
    go test -count=1 -timeout 40m $long 2>&1 | tee -a "$log"
    [ "${PIPESTATUS[0]}" = 0 ] || status=1
  else
    run_in_parts $long 6 "$log" || status=1
  fi
  failing=$(grep -oE '^ *--- FAIL: [^ ]+' "$log" | awk '{print $3}' | sort -u)
  # A build failure, a panic, a data race or a run without a result is not tied to one test, so
  # KNOWN-RED.txt cannot excuse it.
  grep -qE '^(panic:|FAIL.*\[(build|setup) failed\]|WARNING: DATA RACE)' "$log" && return 1
  crashed=$(list_crashed "$log")
  [ -z "$crashed" ] || { echo "ended without a result:" $crashed; return 1; }
  [ -n "$failing" ] || return "$status"
  for name in $failing; do
    grep -q "^${name%%/*}\b" KNOWN-RED.txt 2>/dev/null || { echo "failing and not listed in KNOWN-RED.txt: $name"; return 1; }
  done
  echo "== failing but listed in KNOWN-RED.txt, ignored:" $failing
}
print_known_failures() { [ ! -f KNOWN-RED.txt ] || cat KNOWN-RED.txt; }

run_step "gofumpt" check_format
run_step "revive" check_lint
run_step "go vet" go vet ./...
run_step "settings page" check_settings_page
run_step "generated code" check_generated_code
run_step "examples" check_examples
run_step "models" check_models
run_step "schedules" run_schedules
run_step "tests" run_tests
run_step "known to be red" print_known_failures
[ "$failed" = 0 ] && echo "all checks passed" || echo "some checks failed"
exit "$failed"
