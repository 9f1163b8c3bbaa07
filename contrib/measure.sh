#!/usr/bin/env bash
# Runs the scenarios on trial fleets, first with daemons in the mode pass_through,
# then in the mode managed, and collects the results in out/measure.
#
#   contrib/measure.sh [LAYOUT [SCENARIO...]]
#
# MODES="managed" runs one mode only; KEEP=1 keeps the files of each run.
set -u
cd "$(dirname "$0")/.."
. contrib/fleet.sh
out=${OUT:-out/measure}
layout=${1:-mapa}
shift
scenarios=${*:-steady surge slow greedy drain silent killed withdraw}
mkdir -p "$out"
dir=
cleanup() {
	[ ${#FLEET_PIDS[@]} -gt 0 ] && kill -KILL "${FLEET_PIDS[@]}" 2>/dev/null
	[ -n "$dir" ] && [ "${KEEP:-}" != 1 ] && rm -rf "$dir"
}
trap cleanup EXIT

# pid_of NAME prints the process id of a daemon or an upstream (upstream-ID).
pid_of() {
	local i
	for i in "${!FLEET_NAMES[@]}"; do
		[ "${FLEET_NAMES[$i]}" = "$1" ] && echo "${FLEET_PIDS[$i]}"
	done
}

step() {
	local what=$2 args=${3:-}
	case $1 in
	fault) awk -v s="$what" '$1 == s {print $3}' "$dir/stand-ins" | while read -r a; do "$BIN" fault "$a" "$args"; done ;;
	kill) kill -KILL "$(pid_of "$what")" ;;
	freeze) kill -STOP "$(pid_of "$what")" ;;
	thaw) kill -CONT "$(pid_of "$what")" ;;
	drain) "$BIN" drain "$what" >/dev/null ;;
	withdraw) "$BIN" key withdraw "$("$BIN" key list | awk -v w="$what" '$2 == w {print $1; exit}')" >/dev/null ;;
	esac
}

steps() {
	local began=$EPOCHREALTIME at do what args
	while IFS=$'\t' read -r at do what args; do
		sleep "$(awk -v b="$began" -v n="$EPOCHREALTIME" -v a="$at" 'BEGIN{d=b+a-n; print (d>0)?d:0}')"
		step "$do" "$what" "$args"
	done <"$dir/steps"
}

# cpu prints the CPU time of each daemon in seconds.
cpu() {
	local i ticks
	ticks=$(getconf CLK_TCK)
	for i in "${!FLEET_NAMES[@]}"; do
		case ${FLEET_NAMES[$i]} in upstream-*) continue ;; esac
		awk -v t="$ticks" '{print ($14 + $15) / t}' "/proc/${FLEET_PIDS[$i]}/stat" 2>/dev/null
	done
}

run() {
	local scenario=$1 mode=$2
	dir=$(mktemp -d)
	"$BIN" trial --layout "$layout" --scenario "$scenario" --mode "$mode" "$dir" >/dev/null || return 1
	fleet_start "$dir"
	fleet_ready "$dir" && fleet_confirm "$dir" >"$dir/confirm.out" || return 1
	sleep 6 # until actions can be claimed
	cpu >"$dir/cpu.before"
	steps &
	local stepper=$!
	"$BIN" load --out "$dir/load.json" "$dir/load.ini" >"$dir/load.out"
	wait $stepper
	cpu >"$dir/cpu.after"
	paste "$dir/cpu.before" "$dir/cpu.after" | awk '{print $2 - $1}' >"$dir/cpu"
	"$BIN" ledgers "$dir"
	"$BIN" collect --layout "$layout" --scenario "$scenario" --mode "$mode" --out "$out" "$dir"
	fleet_stop 2>/dev/null
	if [ "${KEEP:-}" = 1 ]; then echo "files are in $dir"; else rm -rf "$dir"; fi
	dir=
}

for scenario in $scenarios; do
	for mode in ${MODES:-pass_through managed}; do
		run "$scenario" "$mode" || { echo "$scenario $mode: the run failed; see $dir" >&2; dir=; exit 1; }
	done
done
echo "results are in $out/summary.json and $out/report.html"
