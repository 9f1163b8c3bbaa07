#!/usr/bin/env bash
# Lets a server leave while its last heartbeat is late and the daemon beside it is killed.
# Exit code: 1 if requests still reach the server, 0 if none does, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
[ -x target/chicorymast ] && [ -x review/bin/standin ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/standin leave --trouble="$trouble" --record review/4/record.txt
