#!/usr/bin/env bash
# Tests an upgrade of a fleet VM by VM: OLD is the binary in use, BIN the new
# one. The files of the fleet are written by OLD. Each step ends with a change
# that must be in force on all daemons, and with load that must be answered
# whole:
#
#   old     all processes run OLD
#   mixed   one control daemon and half of the others, in both data centres, run BIN
#   leader  as mixed, with a control daemon on BIN as the leader
#   new     all daemons run BIN, on the data folders that OLD wrote
#   back    as new, with the same half on OLD again
#
#   BIN=bin/chicorymast contrib/upgrade.sh OLD
#
# KEEP=1 keeps the files.
set -u
old=$(realpath "${1:?usage: contrib/upgrade.sh OLD}")
cd "$(dirname "$0")/.."
. contrib/fleet.sh
new=$(realpath "$BIN")
# The share of calls, in percent, that must end whole in each step.
min_whole=99.9
# How long a replica takes, in seconds, to copy the records of actions.
copy_s=6
dir=$(mktemp -d)
cleanup() {
	[ ${#FLEET_PIDS[@]} -gt 0 ] && kill -KILL "${FLEET_PIDS[@]}" 2>/dev/null
	if [ "${KEEP:-}" = 1 ]; then echo "files are in $dir"; else rm -rf "$dir"; fi
}
trap cleanup EXIT
fail() {
	echo "upgrade: $*" >&2
	KEEP=1
	exit 1
}

# replace NAME BINARY stops a daemon gracefully and starts it with a binary.
# It then waits, since a replica has to copy the records of actions before the
# next one may stop.
replace() {
	local name=$1 binary=$2 i
	for i in "${!FLEET_NAMES[@]}"; do
		[ "${FLEET_NAMES[$i]}" = "$name" ] || continue
		kill -TERM "${FLEET_PIDS[$i]}"
		wait "${FLEET_PIDS[$i]}" || fail "$name did not stop gracefully"
		"$binary" daemon --config "$dir/$name.ini" >>"$dir/$name.out" 2>>"$dir/$name.log" &
		FLEET_PIDS[i]=$!
	done
	fleet_ready "$dir" || fail "the fleet is not complete after $name was replaced"
	sleep "$copy_s"
}

leader() { "$BIN" control list | awk '/leads/{print $2}'; }

# runs prints how many processes run OLD and how many run the new binary.
runs() {
	local pid
	for pid in "${FLEET_PIDS[@]}"; do readlink "/proc/$pid/exe"; done | sort | uniq -c
}

# check STEP CLIENT makes a change with a client's binary and sends load.
check() {
	local step=$1 client=$2
	echo "== $step, client ${client##*/}"
	runs
	printf '\n[workspace upgrade-%s]\n' "$step" >>"$dir/intent.ini"
	"$client" plan --out "$dir/plan.json" "$dir/intent.ini" >/dev/null || fail "$step: no plan"
	"$client" confirm "$dir/plan.json" || fail "$step: not confirmed"
	fleet_in_force "$dir" || fail "$step: not in force everywhere"
	sleep 6 # until actions can be claimed
	"$client" load --out "$dir/load-$step.json" "$dir/load.ini" >"$dir/load-$step.out" || fail "$step: load"
	awk -v min="$min_whole" '/^total/{print; sub("%", "", $4); ok = $4 + 0 >= min} END{exit !ok}' "$dir/load-$step.out" ||
		fail "$step: less than $min_whole% of the calls ended whole"
}

daemons=$(cd "$dir" && "$old" trial --layout small "$dir" >/dev/null && awk '/\tdaemon\t/{print $1}' processes)
controls=$(grep '^control-' <<<"$daemons")
half=$(grep -v '^control-' <<<"$daemons" | awk 'NR % 4 < 2')

BIN=$old
fleet_start "$dir"
fleet_ready "$dir" || fail "not ready"
fleet_confirm "$dir" >/dev/null || fail "not confirmed"
check old "$old"

first=$(grep -vx "$(leader)" <<<"$controls" | head -1)
replace "$first" "$new"
for name in $half; do replace "$name" "$new"; done
check mixed "$new"

# The control daemon on BIN follows so far; it leads once the leaders on OLD
# have stopped often enough.
for _ in $(seq 20); do
	now=$(leader)
	[ "$now" = "$first" ] && break
	[ -n "$now" ] && replace "$now" "$old"
done
[ "$(leader)" = "$first" ] || fail "$first did not become the leader"
check leader "$old"

for name in $daemons; do replace "$name" "$new"; done
check new "$new"

replace "$first" "$old"
for name in $half; do replace "$name" "$old"; done
check back "$old"

BIN=$new
echo "== stopping everything"
fleet_stop || fail "a process did not stop gracefully"
grep -l '"level":"error"' "$dir"/*.log "$dir"/*.out >&2 && fail "errors in the logs named above"
echo "the upgrade passed"
