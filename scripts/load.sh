#!/usr/bin/env bash
# Runs a named workload against nine engines and six entry hosts in three zones,
# all separate processes: scripts/load.sh WORKLOAD [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
workload=$1
seconds=${2:-20}
. scripts/lib.sh

zones=(a b c)
declared=""
for z in 0 1 2; do
  for n in 1 2 3; do
    port=72$z$n
    start "engine-$z$n" "$bin/fescuestandin" engine --address "127.0.0.1:$port" --name "engine-${zones[$z]}$n" \
      --model tutor --prefill-rate 50000 --cache-blocks 400 --report-lag 1s
    declared+="{\"Name\": \"engine-${zones[$z]}$n\", \"Kind\": \"Engine\", \"Address\": \"127.0.0.1:$port\", \"AvailabilityZone\": \"${zones[$z]}\", \"Model\": \"tutor\"},"
  done
done
start booking "$bin/fescuestandin" service --address 127.0.0.1:7301 --name booking
declared+="{\"Name\": \"booking\", \"Kind\": \"Service\", \"Address\": \"127.0.0.1:7301\", \"AvailabilityZone\": \"a\", \"Service\": \"booking\"},"
callers=""
for z in 0 1 2; do
  for n in 0 1; do
    contacts=""
    for o in 80 81 82 83 84 85; do
      [ "$o" = "8$((2 * z + n))" ] || contacts+="entry-$o@${zones[$(((o - 80) / 2))]}@127.0.0.1:81$o, "
    done
    host "entry-8$((2 * z + n))" "${zones[$z]}" "8$((2 * z + n))" "${contacts%, }"
    callers+="http://127.0.0.1:808$((2 * z + n)),"
  done
done
for port in 80 81 82 83 84 85; do await 127.0.0.1 "80$port" /readyz; done
teams=""
keys=""
for t in 0 1 2 3 4 5 6 7; do
  teams+="{\"Name\": \"team-$t\", \"KeySHA256\": \"$(sha "key-$t")\"},"
  keys+="key-$t,"
done
echo "{\"Set\": {\"Teams\": [${teams%,}], \"Models\": [{\"Name\": \"tutor\", \"Weights\": \"1\"}], \"Services\": [{\"Name\": \"booking\"}], \"Upstreams\": [${declared%,}]}}" >"$run/patch.json"
"$bin/fescuepoint" patch "$run/patch.json" --wait >/dev/null
upstreams 10
"$bin/fescuestandin" load "$workload" --callers "${callers%,}" --team-keys "${keys%,}" --duration "${seconds}s" --warm 10s --service booking
for port in 80 83; do
  FESCUEPOINT_OPERATORS=http://127.0.0.1:90$port "$bin/fescuepoint" --output json status |
    sed -n 's/.*"\(Host\|DatagramBytes[A-Za-z]*\)": "\{0,1\}\([^",]*\).*/\1 \2/p' | head -3
done
stop
