#!/usr/bin/env bash
# Runs a small fleet on loopback addresses with stub upstreams, generates load and
# prints a report. Removes its files at the end unless KEEP=1.
set -u
cd "$(dirname "$0")/.."
. contrib/fleet.sh
dir=$(mktemp -d)
cleanup() {
	[ ${#FLEET_PIDS[@]} -gt 0 ] && kill -KILL "${FLEET_PIDS[@]}" 2>/dev/null
	if [ "${KEEP:-}" = 1 ]; then echo "files are in $dir"; else rm -rf "$dir"; fi
}
trap cleanup EXIT
fail() {
	echo "make run: $*" >&2
	exit 1
}

echo "== writing the files of a fleet with two data centres"
"$BIN" trial --layout small "$dir" || fail "the files were not written"
echo "== starting the processes"
fleet_start "$dir"
fleet_ready "$dir" || fail "the fleet is not ready"
echo "== planning and confirming the intent, granting keys"
fleet_confirm "$dir" || fail "the intent was not confirmed"
cat "$dir/status"
echo "== load directly at the stub upstreams, 15 s"
"$BIN" load --out "$dir/direct.json" "$dir/direct.ini" >/dev/null || fail "the direct load failed"
echo "== the same load through the daemons, three hops deep, 15 s"
"$BIN" load --out "$dir/managed.json" "$dir/load.ini" >/dev/null || fail "the load through the daemons failed"
echo "== stopping all processes"
fleet_stop || fail "a process did not stop gracefully"
grep -l '"level":"error"' "$dir"/*.log "$dir"/*.out >&2 && fail "errors in the logs named above"
if grep -qF -f <(cat "$dir"/key-* "$dir/token") "$dir"/*.log "$dir"/*.out "$dir"/*.spans; then
	fail "a log or a trace contains a key or the token"
fi
echo "== report"
"$BIN" report --direct "$dir/direct.json" --managed "$dir/managed.json" --hops 3 || fail "the report failed"
