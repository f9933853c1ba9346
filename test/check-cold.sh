#!/usr/bin/env bash
# Endpoints that turn cold get no more than they bear in any second, of all gateways together, also while gateways die;
# what they leave goes to the others, and they are used as before once they are warm.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
COLD_PER_S=2
MOST=8 # one and a half times that, and five
config 2 key1 | sed "s/{\"name\":\"llm\",/&\"cold-per-s\":$COLD_PER_S,/; s/{\"name\":\"web\"}/{\"name\":\"web\",\"cold-per-s\":$COLD_PER_S}/" >"$RUN/config"
tell config -d "@$RUN/config"
sleep 1
load_one() { # SECONDS N [LEAST]: lookups and prompts at one gateway, twenty a second of each, and so many at least
	local until=$(($(date +%s%N) + $1 * 1000000000)) i=0
	while [ "$(date +%s%N)" -lt $until ] || [ $i -lt "${3:-0}" ]; do
		i=$((i + 1))
		call "$2" /free/x "f$2-$i-$until" -o /dev/null >>"$RUN/statuses" &
		ask "$2" /ask/x "a$2-$i-$until" -o /dev/null >>"$RUN/statuses" &
		sleep 0.05
	done
	wait
}
load_fast() { # SECONDS
	local n pids=()
	for n in 1 2 3; do load_one "$1" $n & pids+=($!); done
	wait "${pids[@]}"
}
cold() { # MS ENDPOINT...
	local id
	for id in "${@:2}"; do tell "cold?id=$id&ms=$1"; done
}
within() { # WHAT ENDPOINT...
	local id have
	for id in "${@:2}"; do
		have=$(tell "most-cold?id=$id")
		is "$1: $id gets $have in a second, which is at most $MOST" "$((have <= MOST))" 1
	done
}

load_fast 3
engine=$(busiest i-e1 i-e2 i-e3)
plain=$(busiest i-p1 i-p2)
is "warm, they get more than that" "$(($(arrivals $engine) > 3 * MOST)) $(($(arrivals $plain) > 3 * MOST))" "1 1"
cold 600000 $engine $plain
sleep 1 # until all have heard
cold 600000 $engine $plain # counted from now on
load_fast 4
within "beside others that are warm" $engine $plain
is "all is served" "$(grep -o '...' "$RUN/statuses" | sort -u)" 200
is "operators see it" "$("$B/bayhoistctl" --node "$(node 2 3)" endpoints | awk 'NR > 1 && $9 > 0 { print $1, $11 }' | sort | tr '\n' ' ')" \
	"$engine $COLD_PER_S.00 $plain $COLD_PER_S.00 "

for n in 1 2 3; do
	load_fast 1
	signal gate$n KILL
	sleep 0.2
	start_gate $n
	wait_for 5 ready $n 200 || is "gateway $n gets ready" no yes
done
load_fast 1
within "while gateways die" $engine $plain

cold 0 $engine $plain
for id in i-e1 i-e2 i-e3 i-p1 i-p2; do # what was cold has to serve alone
	[ $id = "$engine" ] || [ $id = "$plain" ] || tell "drain?id=$id"
done
sleep 1
before="$(arrivals $engine) $(arrivals $plain)"
: >"$RUN/statuses"
(load_one 3 1 $((3 * MOST + 1))) # one engine does not bear what three gateways bring
set -- $before
is "warm again, they are used as before" "$(($(arrivals $engine) - $1 > 3 * MOST)) $(($(arrivals $plain) - $2 > 3 * MOST))" "1 1"
is "and serve all" "$(grep -o '...' "$RUN/statuses" | sort -u)" 200
exit $FAILED
