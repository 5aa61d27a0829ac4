#!/usr/bin/env bash
# Measures what control costs an instance as a fleet of real processes grows, and
# prints one row for each case: processor time, memory and bytes of an idle
# instance. The cases differ in one number each, so that slopes can be taken.
set -u
cd "$(dirname "$0")/.."
bin=$PWD/bin
seconds=${SLOPE_SECONDS:-15}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  pids=()
}
trap 'cleanup; rm -rf "$work"' EXIT
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); last=$!; }

# publish NUMBER ACCOUNTS EDITION
publish() {
  mkdir -p "$work/files"
  cp examples/prairie-linepaint/job-lookup.yaml "$work/files/"
  "$bin/cwfake" accounts --count "$2" --edition "$3" >"$work/files/accounts.yaml"
  "$bin/clementinewell" publish --from "$work/files" --out "$work/published" --number "$1" >/dev/null
}
ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
loBytes() { awk '/lo:/{print $2}' /proc/net/dev; }

# measure PID CHANGES INSTANCES ACCOUNTS ENDPOINTS REAL prints one row. REAL is the
# number of real instances, over which the bytes on the wire are divided.
measure() {
  local pid=$1 changes=$2 accounts=$4 rss
  local t0 b0 t1 b1 number=2 until=$((SECONDS + seconds))
  t0=$(ticks "$pid"); b0=$(loBytes)
  while ((SECONDS < until)); do
    if ((changes > 0)); then
      publish $number "$accounts" $((number - 1))
      for f in "$work"/published/config/buckets/*; do
        cmp -s "$f" "$work/seen/$(basename "$f")" && continue
        cp "$f" "$work/seen/" && curl -s -X PUT --data-binary @"$f" "127.3.0.1:7070/standin/values/config/buckets/$(basename "$f")"
      done
      curl -s -X PUT --data-binary @"$work/published/config/manifest" 127.3.0.1:7070/standin/values/config/manifest
      number=$((number + 1))
    fi
    sleep 1
  done
  t1=$(ticks "$pid"); b1=$(loBytes)
  rss=$(awk '/VmRSS/{print $2}' "/proc/$pid/status")
  awk -v i="$3" -v a="$4" -v e="$5" -v n="$6" -v c="$((number - 2))" -v t="$((t1 - t0))" -v b="$((b1 - b0))" -v s="$seconds" -v r="$rss" \
    'BEGIN{printf "| %d | %d | %d | %d | %.2f | %.1f | %.1f |\n", i, a, e, c, t/s, r/1024, b/s/n/1024}'
}

# fleet DOMAINS ACCOUNTS ENDPOINTS CHANGES starts two instances in each domain and
# measures the first one.
fleet() {
  local domains=$1 accounts=$2 endpoints=$3 changes=$4 d n entries="" listens="" sep=""
  rm -rf "$work/published"; : >"$work/log"
  publish 1 "$accounts" 0
  mkdir -p "$work/published/instances/endpoints"
  for ((d = 1; d <= domains; d++)); do
    for n in 1 2; do
      entries+="$sep{\"peerAddress\":\"127.3.$d.$n:7081\",\"callerAddress\":\"127.3.$d.$n:7080\",\"region\":\"r$(((d + 2) / 3))\",\"domain\":\"d$d\",\"size\":1}"
      sep=,
    done
    local list="" s=""
    for ((n = 1; n <= endpoints; n++)); do
      list+="$s{\"address\":\"127.3.$d.$((n + 10)):7090\",\"pool\":\"job-lookup\"}"; s=,
      listens+="${listens:+,}127.3.$d.$((n + 10)):7090"
    done
    echo "[$list]" >"$work/published/instances/endpoints/d$d"
  done
  echo "[$entries]" >"$work/published/instances/entries"
  start "$bin/cwfake" platform --listen 127.3.0.1:7070 --published "$work/published"
  start "$bin/cwfake" plain --listen "$listens"
  "$bin/cwfake" wait http://127.3.0.1:7070/v1/values/config/manifest || return 1
  local first="" urls=""
  for ((d = 1; d <= domains; d++)); do
    for n in 1 2; do
      CLEMENTINEWELL_PEER_KEY=slopes-peer-key-not-for-use start "$bin/clementinewell" serve --platform http://127.3.0.1:7070 --log-level error \
        --caller-address "127.3.$d.$n:7080" --peer-address "127.3.$d.$n:7081" --admin-address "127.3.$d.$n:7082" --region "r$(((d + 2) / 3))" --domain "d$d"
      first=${first:-$last}
      urls+=" http://127.3.$d.$n:7082/readyz"
    done
  done
  rm -rf "$work/seen"; cp -r "$work/published/config/buckets" "$work/seen"
  # shellcheck disable=SC2086
  "$bin/cwfake" wait --timeout 60s $urls || { tail -3 "$work/log"; return 1; }
  sleep 5
  measure "$first" "$changes" $((2 * domains)) "$accounts" "$endpoints" $((2 * domains))
  cleanup
}

# whole runs one real instance among stand-ins for the 409 others, in 186 domains
# of 60 regions, with 65 endpoints and the given number of config changes.
whole() {
  local changes=$1 d n entries="" list="" listens="" sep="" s="" rss
  rm -rf "$work/published"; : >"$work/log"
  publish 1 25000 0
  mkdir -p "$work/published/instances/endpoints"
  for ((n = 0; n < 410; n++)); do
    d=$((n % 186))
    entries+="$sep{\"peerAddress\":\"127.4.$d.$((n / 186 + 1)):7081\",\"callerAddress\":\"127.4.$d.$((n / 186 + 1)):7080\",\"region\":\"r$((d % 60))\",\"domain\":\"d$d\",\"size\":1}"
    sep=,
  done
  for ((n = 1; n <= 65; n++)); do
    list+="$s{\"address\":\"127.4.0.$((n + 10)):7090\",\"pool\":\"job-lookup\"}"; s=,
    listens+="${listens:+,}127.4.0.$((n + 10)):7090"
  done
  echo "[$list]" >"$work/published/instances/endpoints/d0"
  echo "[$entries]" >"$work/published/instances/entries"
  export CLEMENTINEWELL_PEER_KEY=slopes-peer-key-not-for-use
  start "$bin/cwfake" platform --listen 127.3.0.1:7070 --published "$work/published"
  start "$bin/cwfake" plain --listen "$listens"
  start "$bin/cwfake" peers --entries "$work/published/instances/entries" --endpoints "$work/published/instances/endpoints/d0" --target 127.4.0.1:7081 --domain d0 --peer-key "$CLEMENTINEWELL_PEER_KEY"
  "$bin/cwfake" wait http://127.3.0.1:7070/v1/values/config/manifest || return 1
  start "$bin/clementinewell" serve --platform http://127.3.0.1:7070 --log-level error --caller-address 127.4.0.1:7080 \
    --peer-address 127.4.0.1:7081 --admin-address 127.4.0.1:7082 --region r0 --domain d0
  local first=$last
  "$bin/cwfake" wait --timeout 60s http://127.4.0.1:7082/readyz || { tail -3 "$work/log"; return 1; }
  rm -rf "$work/seen"; cp -r "$work/published/config/buckets" "$work/seen"
  sleep 5
  measure "$first" "$changes" 410 25000 65 1
  cleanup
}

echo "| instances | accounts | endpoints of a domain | changes | % of a core | MB resident | KB/s an instance |"
echo "|---|---|---|---|---|---|---|"
fleet 2 3 4 0
fleet 8 3 4 0
fleet 24 3 4 0
fleet 2 3 65 0
fleet 2 25000 4 0
fleet 2 25000 4 1
fleet 8 25000 65 0
whole 0
whole 1
echo "the last two again, with two processors for the instance:"
export GOMAXPROCS=2
whole 0
whole 1
