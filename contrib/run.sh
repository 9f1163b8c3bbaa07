#!/usr/bin/env bash
# Runs a whole small fleet on loopback with stand-in upstreams and load, and
# ends in a report. Leaves nothing behind; keeps its files with KEEP=1.
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

echo "== writing a fleet of two data centres"
"$BIN" trial --layout small "$dir" || fail "no files"
echo "== starting its processes"
fleet_start "$dir"
fleet_ready "$dir" || fail "not ready"
echo "== planning, confirming, granting keys"
fleet_confirm "$dir" || fail "not confirmed"
cat "$dir/status"
echo "== load straight at the stand-ins, 15 s"
"$BIN" load --out "$dir/direct.json" "$dir/direct.ini" >/dev/null || fail "direct load"
echo "== the same load through the daemons, three hops deep, 15 s"
"$BIN" load --out "$dir/managed.json" "$dir/load.ini" >/dev/null || fail "managed load"
echo "== stopping everything"
fleet_stop || fail "a process did not stop gracefully"
grep -l '"level":"error"' "$dir"/*.log "$dir"/*.out >&2 && fail "errors in the logs named above"
if grep -qF -f <(cat "$dir"/key-* "$dir/token") "$dir"/*.log "$dir"/*.out "$dir"/*.spans; then
	fail "a key or the token stands in a log or a trace"
fi
echo "== report"
"$BIN" report --direct "$dir/direct.json" --managed "$dir/managed.json" --hops 3 || fail "report"
