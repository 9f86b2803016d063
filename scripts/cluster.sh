# Functions that run a small system on loopback addresses, for other scripts to
# source. All processes that they start end when the script exits.

folder=$(mktemp -d)
started=()

finish() {
  for id in "${started[@]}"; do kill "$id" 2>/dev/null || true; done
  for id in "${started[@]}"; do wait "$id" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap finish EXIT

# until_true WHAT COMMAND... waits until the command succeeds, for at most 20 s.
until_true() {
  local what=$1
  shift
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "$0: timed out waiting for: $what; the logs follow" >&2
  tail -n 20 "$folder"/*.log >&2
  return 1
}

# port N KIND prints the port of process N (1 to 99); KIND is 1 for callers, 2 for endpoints, 3 for peers, 4 for operators.
port() {
  echo $((17000 + 10 * $1 + $2))
}

# roles N CONTROLS prints the roles of process N; the first CONTROLS processes have the control role.
roles() {
  if [ "$1" -le "$2" ]; then echo '["entry", "control"]'; else echo '["entry"]'; fi
}

# write_settings N COUNT CONTROLS writes the settings of process N of COUNT.
write_settings() {
  local n=$1 count=$2 controls=$3
  cat <<SETTINGS
name = "entry-$n"
data_centre = "dc-$((n % 3 + 1))"
roles = $(roles "$n" "$controls")
[listen]
callers = "127.0.0.1:$(port "$n" 1)"
endpoints = "127.0.0.1:$(port "$n" 2)"
peers = "127.0.0.1:$(port "$n" 3)"
operators = "127.0.0.1:$(port "$n" 4)"
[control]
data_folder = "$folder/data-$n"
SETTINGS
  for p in $(seq "$count"); do
    cat <<PEER
[[peers]]
name = "entry-$p"
data_centre = "dc-$((p % 3 + 1))"
address = "127.0.0.1:$(port "$p" 3)"
roles = $(roles "$p" "$controls")
PEER
  done
}

# start_daemons COUNT CONTROLS starts COUNT processes and waits until each is ready.
start_daemons() {
  local count=$1 controls=$2
  for n in $(seq "$count"); do
    write_settings "$n" "$count" "$controls" >"$folder/entry-$n.toml"
    bin/cowslipd --settings "$folder/entry-$n.toml" 2>"$folder/entry-$n.log" &
    started+=($!)
  done
  for n in $(seq "$count"); do
    until_true "entry-$n ready" curl -fsS "http://127.0.0.1:$(port "$n" 4)/readyz"
  done
  export COWSLIP_ADDRESS=127.0.0.1:$(port 1 4)
}

# start_endpoint NAME SERVICE VM ENTRY starts a fake endpoint that announces itself to process number ENTRY.
start_endpoint() {
  bin/cowslipfake endpoint --service "$2" --name "$1" --vm "$3" --entry "127.0.0.1:$(port "$4" 2)" 2>"$folder/$1.log" &
  started+=($!)
}
