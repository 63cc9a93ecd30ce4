#!/usr/bin/env bash
# Starts the stand-ins and two entry hosts as separate processes on loopback
# addresses, sends a long prompt twice and one call that must run at most once,
# prints what happened and why, and stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

for n in 1 2 3; do
  start "engine-$n" "$bin/fescuestandin" engine --address "127.0.0.1:720$n" --name "engine-$n" --model tutor --weight-store 127.0.0.1:7102 --checks-fencing
done
start booking "$bin/fescuestandin" service --address 127.0.0.1:7301 --name booking-1

host entry-1 klang-a 80 entry-2@penang-a@127.0.0.1:8181
host entry-2 penang-a 81 entry-1@klang-a@127.0.0.1:8180
await 127.0.0.1 8080 /readyz
await 127.0.0.1 8081 /readyz

cat >"$run/first.json" <<JSON
{
  "Set": {
    "Teams": [{"Name": "training", "KeySHA256": "$(sha team-key)", "RequestsPerSecond": 100}],
    "Models": [{"Name": "tutor", "Weights": "1"}],
    "Services": [{"Name": "booking", "Calls": [{"Path": "/roster", "Idempotent": true}]}],
    "Upstreams": [
      {"Name": "booking-1", "Kind": "Service", "Address": "127.0.0.1:7301", "AvailabilityZone": "klang-a", "Service": "booking"},
      {"Name": "engine-1", "Kind": "Engine", "Address": "127.0.0.1:7201", "AvailabilityZone": "klang-a", "Model": "tutor", "ChecksFencing": true},
      {"Name": "engine-2", "Kind": "Engine", "Address": "127.0.0.1:7202", "AvailabilityZone": "klang-a", "Model": "tutor", "ChecksFencing": true},
      {"Name": "engine-3", "Kind": "Engine", "Address": "127.0.0.1:7203", "AvailabilityZone": "penang-a", "Model": "tutor", "ChecksFencing": true}
    ]
  },
  "Remove": {}
}
JSON

echo "== the first configuration"
"$bin/fescuepoint" patch "$run/first.json" --wait

upstreams 4

printf 'The manual of working at height. %.0s' $(seq 1200) >"$run/manual.txt"
printf 'The module on rescue from a tower. %.0s' $(seq 400) >"$run/module.txt"
printf 'The worker has passed modules one to four. %.0s' $(seq 100) >"$run/worker.txt"
ask() {
  "$bin/fescuepoint" ask --class interactive --request-id "$1" tutor \
    "@$run/manual.txt" "@$run/module.txt" "@$run/worker.txt" "Which knot holds a casualty?"
}
echo "== a long prompt, the first time"
ask ask-1
echo "== the same prefix again, through the other host in another zone"
FESCUEPOINT_CALLER=http://127.0.0.1:8081 ask ask-2
echo "== and again here"
ask ask-3 | tee "$run/ask-3.txt"
grep -Eq ' [1-9][0-9]* of [0-9]+ prompt tokens cached' "$run/ask-3.txt"
echo "== a certificate, issued at most once, asked for twice through two hosts"
"$bin/fescuepoint" call --request-id cert-1 booking /certificate "for worker 7"
FESCUEPOINT_CALLER=http://127.0.0.1:8081 "$bin/fescuepoint" call --request-id cert-1 booking /certificate "for worker 7" | tee "$run/cert.txt"
grep -q '"Run":1' "$run/cert.txt"
echo "== why"
"$bin/fescuepoint" explain ask-3
"$bin/fescuepoint" explain cert-1
echo "== prefix hit rate over both hosts"
{ fetch 127.0.0.1 8080 /metrics && fetch 127.0.0.1 8081 /metrics; } | awk '
  /prompt_tokens_hit/ { hit += $2 }
  /prompt_tokens_recomputed/ { missed += $2 }
  END { printf "%.3f (%d of %d prompt tokens)\n", hit / (hit + missed), hit, hit + missed }'

if [ -n "${KEEP:-}" ]; then
  echo "== left up; end it with Ctrl-C"
  echo "callers:   http://127.0.0.1:8080 http://127.0.0.1:8081 (team key: team-key)"
  echo "operators: http://127.0.0.1:9080 http://127.0.0.1:9081 (key: operator-key)"
  wait
fi
echo "== the same daemon on the users' platform: two hosts before stand-ins, no faults"
"$bin/fescuesoak" --first 1 --seeds 1 --hosts 2 --callers 8 --faults 0s
echo "== stopping"
stop
echo "all processes ended"
