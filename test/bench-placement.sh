#!/bin/sh
# The planner on model engines that work in passes, beside simpler policies, at two loads. SEEDS=N (default 20).
set -e
for load in 41 55; do
	for policy in planner least-work lanes parts-unpaced; do
		"$B/bench_placement" --seeds "${SEEDS:-20}" --load "$load" --policy "$policy"
	done
done
