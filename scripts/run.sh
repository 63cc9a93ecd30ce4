#!/usr/bin/env bash
# Starts the stand-ins and two entry hosts as separate processes on loopback
# addresses, sends a long prompt twice and one call that must run at most once,
# prints what happened and why, and stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
run=run
rm -rf "$run"
mkdir -p "$run"
pids=()

start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=("$!")
}

stop() {
  local code=0
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" || code=$?
  done
  pids=()
  return "$code"
}
trap 'stop || true' EXIT

sha() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

fetch() { (exec 3<>"/dev/tcp/$1/$2" && printf 'GET %s HTTP/1.0\r\n\r\n' "$3" >&3 && cat <&3) 2>/dev/null; }

await() {
  for _ in $(seq 100); do
    if fetch "$1" "$2" "$3" | grep -q '200 OK'; then return 0; fi
    sleep 0.1
  done
  echo "$1:$2$3 did not come up" >&2
  exit 1
}

echo "secret of the fleet" >"$run/secret"
echo "alice $(sha operator-key)" >"$run/operators"

start platform "$bin/fescuestandin" platform --address 127.0.0.1:7100
start hostlist "$bin/fescuestandin" host-list --address 127.0.0.1:7101
start weights "$bin/fescuestandin" weight-store --address 127.0.0.1:7102 --work 1s
for n in 1 2 3; do
  start "engine-$n" "$bin/fescuestandin" engine --address "127.0.0.1:720$n" --name "engine-$n" --model tutor --weight-store 127.0.0.1:7102 --checks-fencing
done
start booking "$bin/fescuestandin" service --address 127.0.0.1:7301 --name booking-1

host() {
  local name=$1 zone=$2 port=$3 other=$4
  cat >"$run/$name.ini" <<INI
[Host]
Name = $name
AvailabilityZone = $zone

[Callers]
Address = 127.0.0.1:80$port

[Peers]
Address = 127.0.0.1:81$port
SecretFile = $run/secret
Contacts = $other

[Operators]
Address = 127.0.0.1:90$port
OperatorKeys = $run/operators

[Platform]
Address = 127.0.0.1:7100
HostList = 127.0.0.1:7101

[Zones]
RoundTrips = klang-a@3ms, penang-a@60ms

[Stop]
Notice = 300ms
INI
  "$bin/fescuepointd" --settings "$run/$name.ini" --check >/dev/null
  start "$name" "$bin/fescuepointd" --settings "$run/$name.ini"
}
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

export FESCUEPOINT_OPERATORS=http://127.0.0.1:9080 FESCUEPOINT_KEY=operator-key
export FESCUEPOINT_CALLER=http://127.0.0.1:8080 FESCUEPOINT_TEAM_KEY=team-key
echo "== the first configuration"
"$bin/fescuepoint" patch "$run/first.json" --wait

for _ in $(seq 50); do
  if "$bin/fescuepoint" upstreams | grep -c 'reachable true' | grep -qx 4; then break; fi
  sleep 0.1
done

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
echo "== tokens hit and recomputed at entry-1"
fetch 127.0.0.1 8080 /metrics | grep -E 'prompt_tokens_(hit|recomputed)'

if [ -n "${KEEP:-}" ]; then
  echo "== left up; end it with Ctrl-C"
  echo "callers:   http://127.0.0.1:8080 http://127.0.0.1:8081 (team key: team-key)"
  echo "operators: http://127.0.0.1:9080 http://127.0.0.1:9081 (key: operator-key)"
  wait
fi
echo "== stopping"
stop
echo "all processes ended"
