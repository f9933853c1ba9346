#!/usr/bin/env bash
# Callers that connect while a gateway ends: the kernel had set their connections up, and they were reset with the socket, though nothing had read what they asked. Each is answered, or refused before it can ask.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
swarm() { # GATEWAY SECONDS ROUND: eight callers, each of which asks again and again on new connections
	local caller until=$(($(date +%s%N) + $2 * 1000000000))
	for caller in 1 2 3 4 5 6 7 8; do
		while [ "$(date +%s%N)" -lt $until ]; do
			curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(node "$1" 0)/nowhere/x" -H 'Host: a.example' -H "X-Api-Key: $CALLER_KEY"
			echo " $?"
		done >>"$RUN/swarm.$3.$caller" &
	done
	wait $(jobs -p | tail -n 8)
}
for round in 1 2 3 4 5 6; do
	n=$((round % 3 + 1))
	signal gate$n TERM # it ends after 3.2 s, since it has nothing to do
	sleep 2.9
	swarm $n 1 $round
	start_gate $n
	wait_for 10 ready $n 200
done
# 404: no route. 503: it stops. 7: it has ended
is "callers of a gateway that ends" "$(cat "$RUN"/swarm.* | grep -v '^\(404 0\|503 0\|000 7\)$' | sort | uniq -c | tr -s ' ')" ""
is "and many were answered" "$(($(cat "$RUN"/swarm.* | grep -c ' 0$') > 100))" 1
exit $FAILED
