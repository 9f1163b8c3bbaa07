#!/usr/bin/env bash
# Checks each model exhaustively within its bounds, and each mutant of it, whose
# check must fail. Needs spin and a C compiler. Prints one line for each check.
set -u
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check MODEL EXPECT FLAGS... checks a model with the flags; EXPECT is pass or fail.
check() {
	local model=$1 expect=$2
	shift 2
	local dir="$work/$model.$*"
	dir=${dir// /}
	mkdir -p "$dir"
	cp "$model.pml" "$dir/"
	(cd "$dir" && spin "$@" -a "$model.pml") >"$dir/spin.out" 2>&1 || { echo "$model $*: spin failed"; cat "$dir/spin.out"; failed=1; return; }
	gcc -O2 -w -DSAFETY -DCOLLAPSE -DNOFAIR -DMEMLIM=8000 -o "$dir/pan" "$dir/pan.c" || { failed=1; return; }
	(cd "$dir" && timeout 900 ./pan -E -m2000000 -n >pan.out 2>&1)
	local errors states
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.out")
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out" | head -1)
	local complete=yes
	grep -q "Search not completed\|max search depth too small\|out of memory" "$dir/pan.out" && complete=no
	[ -z "$errors" ] && complete=no
	local verdict=wrong
	[ "$expect" = pass ] && [ "${errors:-1}" = 0 ] && [ $complete = yes ] && verdict=ok
	[ "$expect" = fail ] && [ "${errors:-0}" != 0 ] && verdict=ok
	printf '%-12s %-60s %-5s errors=%s states=%s complete=%s\n' "$model" "$*" $verdict "${errors:-?}" "${states:-?}" $complete
	[ $verdict = ok ] || failed=1
}

for spec in ${*:-agreement record lease distribute}; do
	. "./$spec.sh"
done
exit $failed
