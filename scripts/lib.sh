# Functions for scripts that start a deployment on loopback addresses.
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

# stop ends the processes started here, in reverse order, and returns the status of
# the last one that failed.
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

# host NAME ZONE PORT CONTACTS starts an entry host on ports 80PORT, 81PORT and 90PORT.
host() {
  local name=$1 zone=$2 port=$3 contacts=$4
  cat >"$run/$name.ini" <<INI
[Host]
Name = $name
AvailabilityZone = $zone

[Callers]
Address = 127.0.0.1:80$port

[Peers]
Address = 127.0.0.1:81$port
SecretFile = $run/secret
Contacts = $contacts

[Operators]
Address = 127.0.0.1:90$port
OperatorKeys = $run/operators

[Platform]
Address = 127.0.0.1:7100
HostList = 127.0.0.1:7101

[Zones]
RoundTrips = $zone@3ms

[Stop]
Notice = 300ms
INI
  "$bin/fescuepointd" --settings "$run/$name.ini" --check >/dev/null
  start "$name" "$bin/fescuepointd" --settings "$run/$name.ini"
}

# upstreams N waits until N upstreams can be reached.
upstreams() {
  for _ in $(seq 50); do
    if "$bin/fescuepoint" upstreams | grep -c 'reachable true' | grep -qx "$1"; then return 0; fi
    sleep 0.1
  done
  echo "not all upstreams came up" >&2
  exit 1
}

echo "secret of the fleet" >"$run/secret"
echo "alice $(sha operator-key)" >"$run/operators"
export FESCUEPOINT_OPERATORS=http://127.0.0.1:9080 FESCUEPOINT_KEY=operator-key
export FESCUEPOINT_CALLER=http://127.0.0.1:8080 FESCUEPOINT_TEAM_KEY=team-key
start platform "$bin/fescuestandin" platform --address 127.0.0.1:7100
start hostlist "$bin/fescuestandin" host-list --address 127.0.0.1:7101
start weights "$bin/fescuestandin" weight-store --address 127.0.0.1:7102 --work 1s
