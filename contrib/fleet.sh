# Functions that start and stop a trial fleet; source this file.
#
#   fleet_start DIR      starts the processes of DIR/processes
#   fleet_ready DIR      waits until every daemon and upstream is known
#   fleet_confirm DIR    plans and confirms the intent, grants a key to each workspace
#   fleet_stop           stops all started processes gracefully; fails if any fails

BIN=${BIN:-bin/chicorymast}
FLEET_PIDS=()
FLEET_NAMES=()

fleet_start() {
	local dir=$1 name args
	while IFS=$'\t' read -r -a args; do
		name=${args[0]}
		"$BIN" "${args[@]:1}" >"$dir/$name.out" 2>"$dir/$name.log" &
		FLEET_PIDS+=($!)
		FLEET_NAMES+=("$name")
	done <"$dir/processes"
}

fleet_environment() {
	set -a
	. "$1/environment"
	set +a
}

# fleet_ready waits, for at most about 30 s, until all members and upstreams are known.
fleet_ready() {
	local dir=$1 want_upstreams n
	fleet_environment "$dir"
	want_upstreams=$(grep -c '^upstream-' "$dir/processes")
	for n in $(seq 150); do
		if "$BIN" status >"$dir/status" 2>/dev/null &&
			[ "$(awk '/ VMs,/{print $8}' "$dir/status")" = "$DAEMONS" ] &&
			[ "$(awk '/service /{n+=$3} END{print n+0}' "$dir/status")" = "$want_upstreams" ]; then
			return 0
		fi
		sleep 0.2
	done
	echo "the fleet did not become ready in time; see $dir/*.out" >&2
	return 1
}

fleet_confirm() {
	local dir=$1 tenant
	"$BIN" plan --out "$dir/plan.json" "$dir/intent.ini" || return 1
	"$BIN" confirm "$dir/plan.json" || return 1
	for tenant in $TENANTS; do
		"$BIN" key grant --key-file "$dir/key-$tenant" "$tenant" || return 1
	done
	fleet_in_force "$dir"
}

# fleet_in_force waits, for at most about 10 s, until all daemons have the newest
# revision.
fleet_in_force() {
	local dir=$1 n
	for n in $(seq 100); do
		"$BIN" status >"$dir/status" 2>/dev/null &&
			awk '/ VMs,/{exit !($6 == $8)}' "$dir/status" && return 0
		sleep 0.1
	done
	echo "some daemons do not have the newest revision; see $dir/status" >&2
	return 1
}

fleet_stop() {
	local i failed=0
	# Signals in reverse order of start: upstreams, their daemons, control daemons.
	for i in $(seq $((${#FLEET_PIDS[@]} - 1)) -1 0); do
		kill -TERM "${FLEET_PIDS[$i]}" 2>/dev/null
	done
	for i in "${!FLEET_PIDS[@]}"; do
		wait "${FLEET_PIDS[$i]}"
		local code=$?
		if [ $code -ne 0 ]; then
			echo "${FLEET_NAMES[$i]} ended with exit code $code" >&2
			failed=1
		fi
	done
	FLEET_PIDS=()
	FLEET_NAMES=()
	return $failed
}
