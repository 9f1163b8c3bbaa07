#!/usr/bin/env bash
# Loses the disks of two core machines one after the other, within the stated tolerance.
# Exit code: 1 if the configuration is gone, 0 if it is there, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
[ -x target/chicorymast ] && [ -x review/bin/standin ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/standin disks --trouble="$trouble" --record review/2/record.txt
