#!/usr/bin/env bash
# Measures the control-plane cost of one instance that serves no requests, in fleets
# of different sizes. The other instances are real processes too, except in
# measure_full_size. Prints one table row for each case: processor time, resident memory
# and bytes on the loopback interface. Most cases of measure_fleet differ from another
# one in a single number, so that the cost per unit (the slope) can be computed from two
# rows.
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
# start_process COMMAND... runs the command in the background and sets last_pid.
start_process() { "$@" >>"$work/log" 2>&1 & pids+=($!); last_pid=$!; }

# publish_config NUMBER ACCOUNTS EDITION writes a configuration with ACCOUNTS accounts and
# the version NUMBER to the folder published. Adjacent editions differ in one account.
publish_config() {
  mkdir -p "$work/files"
  cp examples/prairie-linepaint/job-lookup.yaml "$work/files/"
  "$bin/cwfake" accounts --count "$2" --edition "$3" >"$work/files/accounts.yaml"
  "$bin/clementinewell" publish --from "$work/files" --out "$work/published" --number "$1" >/dev/null
}
# cpu_ticks PID prints the processor time used so far, in clock ticks. A second has
# 100 ticks, so ticks per second equal percent of a core.
cpu_ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
loopback_bytes() { awk '/lo:/{print $2}' /proc/net/dev; }

# measure PID PUBLISH INSTANCES ACCOUNTS ENDPOINTS REAL prints one row. With PUBLISH
# above 0 a config change is published about once a second meanwhile. REAL is the
# number of real instances, among which the bytes on the loopback interface are divided.
measure() {
  local pid=$1 publish=$2 accounts=$4 rss_kib
  local ticks_before bytes_before ticks_after bytes_after number=2 end=$((SECONDS + seconds))
  ticks_before=$(cpu_ticks "$pid"); bytes_before=$(loopback_bytes)
  while ((SECONDS < end)); do
    if ((publish > 0)); then
      publish_config $number "$accounts" $((number - 1))
      for bucket in "$work"/published/config/buckets/*; do
        cmp -s "$bucket" "$work/uploaded/$(basename "$bucket")" && continue
        cp "$bucket" "$work/uploaded/" && curl -s -X PUT --data-binary @"$bucket" "127.3.0.1:7070/standin/values/config/buckets/$(basename "$bucket")"
      done
      curl -s -X PUT --data-binary @"$work/published/config/manifest" 127.3.0.1:7070/standin/values/config/manifest
      number=$((number + 1))
    fi
    sleep 1
  done
  ticks_after=$(cpu_ticks "$pid"); bytes_after=$(loopback_bytes)
  rss_kib=$(awk '/VmRSS/{print $2}' "/proc/$pid/status")
  awk -v instances="$3" -v accounts="$4" -v endpoints="$5" -v real="$6" -v changes="$((number - 2))" \
    -v ticks="$((ticks_after - ticks_before))" -v bytes="$((bytes_after - bytes_before))" -v seconds="$seconds" -v rss="$rss_kib" \
    'BEGIN{printf "| %d | %d | %d | %d | %.2f | %.1f | %.1f |\n", instances, accounts, endpoints, changes, ticks/seconds, rss/1024, bytes/seconds/real/1024}'
}

# measure_fleet DOMAINS ACCOUNTS ENDPOINTS PUBLISH starts two instances in each domain
# and measures the first one. ENDPOINTS is the number in each domain.
measure_fleet() {
  local domains=$1 accounts=$2 endpoints=$3 publish=$4 d n entries="" listen="" separator=""
  rm -rf "$work/published"; : >"$work/log"
  publish_config 1 "$accounts" 0
  mkdir -p "$work/published/instances/endpoints"
  for ((d = 1; d <= domains; d++)); do
    for n in 1 2; do
      entries+="$separator{\"peerAddress\":\"127.3.$d.$n:7081\",\"callerAddress\":\"127.3.$d.$n:7080\",\"region\":\"r$(((d + 2) / 3))\",\"domain\":\"d$d\",\"size\":1}"
      separator=,
    done
    local endpoint_list="" endpoint_separator=""
    for ((n = 1; n <= endpoints; n++)); do
      endpoint_list+="$endpoint_separator{\"address\":\"127.3.$d.$((n + 10)):7090\",\"pool\":\"job-lookup\"}"; endpoint_separator=,
      listen+="${listen:+,}127.3.$d.$((n + 10)):7090"
    done
    echo "[$endpoint_list]" >"$work/published/instances/endpoints/d$d"
  done
  echo "[$entries]" >"$work/published/instances/entries"
  start_process "$bin/cwfake" platform --listen 127.3.0.1:7070 --published "$work/published"
  start_process "$bin/cwfake" plain --listen "$listen"
  "$bin/cwfake" wait http://127.3.0.1:7070/v1/values/config/manifest || return 1
  local first_pid="" ready_urls=""
  for ((d = 1; d <= domains; d++)); do
    for n in 1 2; do
      CLEMENTINEWELL_PEER_KEY=slopes-peer-key-not-for-use start_process "$bin/clementinewell" serve --platform http://127.3.0.1:7070 --log-level error \
        --caller-address "127.3.$d.$n:7080" --peer-address "127.3.$d.$n:7081" --admin-address "127.3.$d.$n:7082" --region "r$(((d + 2) / 3))" --domain "d$d"
      first_pid=${first_pid:-$last_pid}
      ready_urls+=" http://127.3.$d.$n:7082/readyz"
    done
  done
  rm -rf "$work/uploaded"; cp -r "$work/published/config/buckets" "$work/uploaded"
  # shellcheck disable=SC2086
  "$bin/cwfake" wait --timeout 60s $ready_urls || { tail -3 "$work/log"; return 1; }
  sleep 5
  measure "$first_pid" "$publish" $((2 * domains)) "$accounts" "$endpoints" $((2 * domains))
  cleanup
}

# measure_full_size PUBLISH measures one real instance in a fleet of 410, in 186
# domains of 60 regions, with 25,000 accounts and 65 endpoints in its domain. The 409
# other instances are stand-ins.
measure_full_size() {
  local publish=$1 d n entries="" endpoint_list="" listen="" separator="" endpoint_separator=""
  rm -rf "$work/published"; : >"$work/log"
  publish_config 1 25000 0
  mkdir -p "$work/published/instances/endpoints"
  for ((n = 0; n < 410; n++)); do
    d=$((n % 186))
    entries+="$separator{\"peerAddress\":\"127.4.$d.$((n / 186 + 1)):7081\",\"callerAddress\":\"127.4.$d.$((n / 186 + 1)):7080\",\"region\":\"r$((d % 60))\",\"domain\":\"d$d\",\"size\":1}"
    separator=,
  done
  for ((n = 1; n <= 65; n++)); do
    endpoint_list+="$endpoint_separator{\"address\":\"127.4.0.$((n + 10)):7090\",\"pool\":\"job-lookup\"}"; endpoint_separator=,
    listen+="${listen:+,}127.4.0.$((n + 10)):7090"
  done
  echo "[$endpoint_list]" >"$work/published/instances/endpoints/d0"
  echo "[$entries]" >"$work/published/instances/entries"
  export CLEMENTINEWELL_PEER_KEY=slopes-peer-key-not-for-use
  start_process "$bin/cwfake" platform --listen 127.3.0.1:7070 --published "$work/published"
  start_process "$bin/cwfake" plain --listen "$listen"
  start_process "$bin/cwfake" peers --entries "$work/published/instances/entries" --endpoints "$work/published/instances/endpoints/d0" --target 127.4.0.1:7081 --domain d0 --peer-key "$CLEMENTINEWELL_PEER_KEY"
  "$bin/cwfake" wait http://127.3.0.1:7070/v1/values/config/manifest || return 1
  start_process "$bin/clementinewell" serve --platform http://127.3.0.1:7070 --log-level error --caller-address 127.4.0.1:7080 \
    --peer-address 127.4.0.1:7081 --admin-address 127.4.0.1:7082 --region r0 --domain d0
  local instance_pid=$last_pid
  "$bin/cwfake" wait --timeout 60s http://127.4.0.1:7082/readyz || { tail -3 "$work/log"; return 1; }
  rm -rf "$work/uploaded"; cp -r "$work/published/config/buckets" "$work/uploaded"
  sleep 5
  measure "$instance_pid" "$publish" 410 25000 65 1
  cleanup
}

echo "| instances | accounts | endpoints per domain | config changes | % of a core | MB resident | KB/s per instance |"
echo "|---|---|---|---|---|---|---|"
measure_fleet 2 3 4 0
measure_fleet 8 3 4 0
measure_fleet 24 3 4 0
measure_fleet 2 3 65 0
measure_fleet 2 25000 4 0
measure_fleet 2 25000 4 1
measure_fleet 8 25000 65 0
measure_full_size 0
measure_full_size 1
echo "the last two cases, repeated with two processors for the instance (GOMAXPROCS=2):"
export GOMAXPROCS=2
measure_full_size 0
measure_full_size 1
