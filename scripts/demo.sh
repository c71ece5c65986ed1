#!/usr/bin/env bash
# Runs the whole path on loopback: three VMs that are gate and keeper, three
# stand-in engines, one streaming online request, one batch job. Ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."

base=${DEMO_PORT:-18100}     # first of 12 consecutive ports
items=${DEMO_ITEMS:-1000}    # items of the batch job

# A process of another demo on one of the ports would be taken for one of this
# one: its fleet would refuse the template in a message that leads nowhere.
for port in $(seq "$base" $((base + 11))); do
  if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
    echo "port $port is taken, perhaps by another demo; set DEMO_PORT to the first of 12 free ports" >&2
    exit 1
  fi
done

work=$(mktemp -d)
pids=()

stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT

callers() { echo "127.0.0.1:$((base + $1))"; }
operators() { echo "127.0.0.1:$((base + 3 + $1))"; }
peers() { echo "127.0.0.1:$((base + 6 + $1))"; }

for vm in 0 1 2; do
  mkdir "$work/data-$vm"
  cat >"$work/vm-$vm.toml" <<EOF
[vm]
name = "vm-$vm"
place = "place-$vm"
region = "demo"
data_folder = "$work/data-$vm"
roles = ["gate", "keeper"]

[listen]
callers = "$(callers $vm)"
operators = "$(operators $vm)"
peers = "$(peers $vm)"

[directory]
answer_lifetime = "1s"

[log]
level = "warn"
$(for k in 0 1 2; do printf '\n[[keeper]]\nvm = "vm-%s"\npeers = "%s"\n' "$k" "$(peers $k)"; done)
EOF
  bin/slatewayd "$work/vm-$vm.toml" 2>"$work/vm-$vm.log" &
  pids+=($!)
done
for replica in 0 1 2; do
  bin/standin-engine --service wordroom --replica "engine-$replica" --place "place-$replica" --model wordroom@1 \
    --slots 16 --max-tokens 16 --token-every 4ms --first-token 15ms --leave-grace 0s \
    --gate "$(callers $replica)" >"$work/engine-$replica.log" &
  pids+=($!)
done

cat >"$work/newsdesk.toml" <<'EOF'
name = "newsdesk"
services = []

[[parameters]]
name = "rate"
type = "number"
default = 50
min = 1
max = 500

[[models]]
name = "wordroom"
version = "1"

[online]
requests_per_second = "${rate}"
deadline = "20s"

[batch]
policy = "throughput"
EOF

operator=(bin/slatectl --server "$(operators 0)" --server "$(operators 1)")
caller=(bin/slatectl --server "$(callers 0)" --server "$(callers 1)" --server "$(callers 2)" --token demo-token)

echo "== configuration: a template, and a team made from it"
"${operator[@]}" --retry-for 30s template apply newsdesk "$work/newsdesk.toml"
"${operator[@]}" team create --template newsdesk --param rate=100 --team-token demo-token council
"${operator[@]}" change wait 2
"${caller[@]}" entries

echo; echo "== one streaming online request"
for _ in $(seq 50); do [ "$("${caller[@]}" upstream list | grep -c wordroom)" -ge 3 ] && break; sleep 0.2; done
curl --silent --show-error --fail --no-buffer "http://$(callers 1)/v1/chat/completions" \
  -H 'Authorization: Bearer demo-token' -H 'Content-Type: application/json' \
  -d '{"model":"wordroom","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Summarise the council notice."}]}' \
  | tee "$work/stream.txt"
grep -q '^data: \[DONE\]' "$work/stream.txt"

echo; echo "== a batch job of $items items"
for i in $(seq "$items"); do
  printf '{"custom_id":"notice-%d","url":"/v1/chat/completions","body":{"model":"wordroom","max_tokens":8,"messages":[{"role":"user","content":"Digest of notice %d"}]}}\n' "$i" "$i"
done >"$work/items.ndjson"
"${caller[@]}" job submit --key bulletin-1 --wait "$work/items.ndjson"
job=$("${caller[@]}" --json job submit --key bulletin-1 "$work/items.ndjson" | sed -n 's/.*"id" *: *"\([^"]*\)".*/\1/p' | head -1)
"${caller[@]}" job results --output "$work/results.ndjson" "$job"
head -2 "$work/results.ndjson" | cut -c1-200
answered=$(sed -n 's/.*"custom_id":"\([^"]*\)","status":"succeeded".*/\1/p' "$work/results.ndjson" | sort -u | wc -l)
lines=$(wc -l <"$work/results.ndjson")
echo "$answered of $items items answered, $lines result lines"
[ "$answered" -eq "$items" ] && [ "$lines" -eq "$items" ]

echo; echo "== counters of the three gates"
for vm in 0 1 2; do
  curl --silent "http://$(operators $vm)/metrics?format=prometheus" | grep -E '^[a-z_]*(online|batch|refused|retried)[a-z_]*(_total)? ' | head -20 | sed "s/^/vm-$vm /"
done
echo; echo "demo passed"
