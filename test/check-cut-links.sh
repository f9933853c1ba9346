#!/usr/bin/env bash
# Gateways that had lost their own links to all endpoints refused their callers, although their peers reached the endpoints;
# their failures had the endpoints ejected for all, so that callers of the other gateways were refused as well.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy
FAILED=0
start_three_gates
AIM=95 # in 100 first tries, from a second after the cut began

scheduler() { grep -h 'event=scheduler service=llm' "$RUN/gate1.log" | tail -n 1 | sed 's/.*node=gate\([0-9]\).*/\1/'; }

load 2
for mode in reset refuse dark; do
	for others in not-scheduling scheduling; do # which gateway is not cut off: the scheduler, or another
		whole=$(scheduler)
		[ $others = scheduling ] || whole=$((whole % 3 + 1))
		cut="$((whole % 3 + 1)) $(((whole + 1) % 3 + 1))"
		cut_endpoints $mode $cut
		load 1
		first=$((sent + 1))
		load 3
		at_least "$mode, gateways $cut: first tries at these are served" "$(share $first $cut)" $AIM
		at_least "$mode, gateways $cut: first tries at gateway $whole" "$(share $first $whole)" $AIM
		cut_endpoints pass 1 2 3
		load 1
		first=$((sent + 1))
		load 1
		at_least "$mode: afterwards all are served" "$(share $first 1 2 3)" 100
	done
done
for i in $(seq $sent); do tell "runs?id=$(id_of f $i)"; done | sort -n | tail -n 1 >"$RUN/most"
is "no lookup runs more often than its route allows" "$(($(cat "$RUN/most") <= 2))" 1
is "at no moment were all engines ejected" "$(grep -h 'event=engine what=failed' "$RUN"/gate[123].log | grep -c 'ejected=3 engines=3')" 0
exit $FAILED
