#!/usr/bin/env bash
# Measures the inputs of docs/CAPACITY.md on one machine: idle daemons, changes,
# the size of the configuration, restart, change of leader.
set -u
cd "$(dirname "$0")/.."
. contrib/fleet.sh
dir=$(mktemp -d)
cleanup() {
	[ ${#FLEET_PIDS[@]} -gt 0 ] && kill -KILL "${FLEET_PIDS[@]}" 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT
ticks=$(getconf CLK_TCK)

cpu_of() { awk -v t="$ticks" '{print ($14 + $15) / t}' "/proc/$1/stat"; }
rss_of() { awk '/VmRSS/{print $2 / 1024}' "/proc/$1/status"; }
now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
setting() { awk -F' = ' -v k="$2" '$1 == k {print $2; exit}' "$dir/$1.ini"; }

pid_of() {
	local i
	for i in "${!FLEET_NAMES[@]}"; do
		[ "${FLEET_NAMES[$i]}" = "$1" ] && echo "${FLEET_PIDS[$i]}"
	done
}

# Start only the three control daemons of the small fleet.
"$BIN" trial "$dir" >/dev/null
grep '^control-' "$dir/processes" >"$dir/p" && mv "$dir/p" "$dir/processes"
sed -i 's/^DAEMONS=.*/DAEMONS=3/' "$dir/environment"
fleet_start "$dir"
fleet_ready "$dir" || exit 1
relay=$(setting control-1 control)
pid=$(pid_of control-1)

# at_rest N SECONDS measures N daemons at one relay without configuration changes.
at_rest() {
	local before after
	"$BIN" agents --relay "$relay" --count "$1" --settle 4s --duration "$2s" >"$dir/agents" &
	local job=$!
	sleep 5
	before=$(cpu_of "$pid")
	sleep $(($2 - 3))
	after=$(cpu_of "$pid")
	wait $job
	echo "$(cat "$dir/agents") relay_cpu_share=$(awk -v a="$before" -v b="$after" -v s=$(($2 - 3)) 'BEGIN{printf "%.5f", (b-a)/s}') relay_rss_mb=$(rss_of "$pid")"
}

echo "== idle"
for n in 1 100 200 400; do at_rest $n 10; done

echo "== 100 changes at ten per second with 200 daemons"
before=$(cpu_of "$pid")
"$BIN" agents --relay "$relay" --count 200 --settle 4s --duration 14s >"$dir/agents" &
job=$!
sleep 5
"$BIN" changes --count 100 --pause 90ms --label spread
wait $job
cat "$dir/agents"
echo "relay_cpu_s_over_all=$(awk -v a="$before" -v b="$(cpu_of "$pid")" 'BEGIN{print b-a}')"

# big SERVICES prints an intent with as many services, five routes and two grants each.
big() {
	awk -v n="$1" 'BEGIN{
		print "[data_centre kosice-1]\n[data_centre kosice-2]"
		for (w = 0; w < n / 3; w++) print "[workspace w" w "]"
		for (s = 0; s < n; s++) {
			print "[service s" s "]"
			for (r = 0; r < 5; r++) printf "[route s%d_r%d]\nmethod = GET\npath = /s%d/r%d/{id}\nservice = s%d\nidempotent = true\n", s, r, s, r, s
			for (g = 0; g < 2; g++) printf "[grant s%d_g%d]\nworkspace = w%d\nroutes = %s\nrate = 50\nburst = 100\n", s, g, s % int(n / 3), g ? sprintf("s%d_r0, s%d_r1", s, s) : sprintf("s%d_r2", s)
		}
	}'
}

echo "== size of the configuration"
for n in 300 600 1200; do
	big $n >"$dir/big.ini"
	"$BIN" plan --out "$dir/plan.json" "$dir/big.ini" >/dev/null || exit 1
	t=$(now_ms)
	"$BIN" confirm "$dir/plan.json" >/dev/null || exit 1
	echo "services=$n confirm_ms=$(($(now_ms) - t)) intent_bytes=$(wc -c <"$dir/big.ini")"
	before=$(cpu_of "$pid")
	"$BIN" agents --relay "$relay" --count 10 --settle 5s --duration 8s >"$dir/agents" &
	job=$!
	sleep 6
	"$BIN" changes --count 40 --pause 90ms --label "big-$n"
	wait $job
	cat "$dir/agents"
	echo "relay_cpu_s=$(awk -v a="$before" -v b="$(cpu_of "$pid")" 'BEGIN{print b-a}') relay_rss_mb=$(rss_of "$pid")"
done

echo "== restart after many changes"
printf '[data_centre kosice-1]\n' >"$dir/empty.ini"
"$BIN" plan --out "$dir/plan.json" "$dir/empty.ini" >/dev/null && "$BIN" confirm "$dir/plan.json" >/dev/null
for n in 2000 8000; do
	"$BIN" changes --count $n --label "restart-$n"
	kill -TERM "$(pid_of control-3)"
	wait "$(pid_of control-3)"
	t=$(now_ms)
	"$BIN" daemon --config "$dir/control-3.ini" >>"$dir/control-3.out" 2>&1 &
	for i in "${!FLEET_NAMES[@]}"; do [ "${FLEET_NAMES[$i]}" = control-3 ] && FLEET_PIDS[i]=$!; done
	until "$BIN" status --server "$(setting control-3 admin)" 2>/dev/null | grep -q 'in force'; do sleep 0.02; done
	echo "restart_ms=$(($(now_ms) - t)) folder_kb=$(du -sk "$dir/data/control-3" | awk '{print $1}')"
done

echo "== change of leader"
for _ in 1 2 3; do
	leader=$("$BIN" control list | awk '/leads/{print $2}')
	kill -KILL "$(pid_of "$leader")"
	wait "$(pid_of "$leader")" 2>/dev/null
	t=$(now_ms)
	"$BIN" changes --count 1 --label "leader-$t" >/dev/null
	echo "accepted_again_after_ms=$(($(now_ms) - t))"
	"$BIN" daemon --config "$dir/$leader.ini" >>"$dir/$leader.out" 2>&1 &
	for i in "${!FLEET_NAMES[@]}"; do [ "${FLEET_NAMES[$i]}" = "$leader" ] && FLEET_PIDS[i]=$!; done
	sleep 3
done
fleet_stop
