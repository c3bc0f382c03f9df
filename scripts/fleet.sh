# Functions that start a small fleet on this machine, for scripts/demo and
# scripts/bench-load. The caller sets out (a directory) and base (the first port to
# try; each fleet uses 100).
# shellcheck shell=bash
# A lock keeps two fleets on this machine from using the same ports.
while exec {ports}>"${TMPDIR:-/tmp}/primrosedrift-ports-$base"; ! flock -n "$ports"; do
  exec {ports}>&-
  base=$((base + 100))
done
go build -o "$out/" ./cmd/primrosedrift ./cmd/standin
pd="$out/primrosedrift" st="$out/standin"
declare -A pid
stop_all() { for p in "${pid[@]}"; do kill "$p" 2>/dev/null || true; done; wait "${pid[@]}" 2>/dev/null || true; }
trap stop_all EXIT
start() { local name=$1; shift; "$@" >"$out/$name.log" 2>&1 & pid[$name]=$!; }
port() { echo "127.0.0.1:$((base + $1))"; }
announce() { # name offset state
  curl -sf -X POST "http://$(port 1)/instances" \
    -d "{\"name\":\"$1\",\"address\":\"$(port "$2")\",\"data-centre\":\"zaal-utr\",\"state\":\"$3\",\"role\":\"entry\"}"
}
wait_up() {
  for _ in $(seq 200); do curl -s -o /dev/null "http://$(port "$1")/" && return; sleep 0.05; done
  echo "nothing listens on $(port "$1")"; exit 1
}

start_platform() { # load-ms
  start log "$st" log --listen "$(port 0)"
  start list "$st" list --listen "$(port 1)"
  start store "$st" store --listen "$(port 2)" --load-ms "$1"
  for p in 0 1 2; do wait_up $p; done
}
start_engine() { # number token-ms slots
  start "engine-$1" "$st" engine --listen "$(port $((10 + $1)))" --store "http://$(port 2)" --load-ms 50 --token-ms "$2" --slots "$3"
  wait_up $((10 + $1))
}
start_service() { # number call-ms slots
  start "service-$1" "$st" service --listen "$(port $((20 + $1)))" --call-ms "$2" --slots "$3"
  wait_up $((20 + $1))
}
start_entry() { # number
  cat >"$out/entry-$1.toml" <<TOML
instance = "entry-$1"
data-centre = "zaal-utr"
[listen]
caller = "$(port $((30 + $1)))"
peer = "$(port $((40 + $1)))"
operator = "$(port $((50 + $1)))"
debug = "$(port $((60 + $1)))"
[platform]
log = "http://$(port 0)"
instance-list = "http://$(port 1)"
TOML
  start "entry-$1" "$pd" serve "$out/entry-$1.toml"
  announce "entry-$1" $((40 + $1)) live
  wait_up $((30 + $1))
}
