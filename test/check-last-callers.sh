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
late_caller() { # GATEWAY FILE: connects now, and asks 700 ms later
	local line status=
	exec 9<>"/dev/tcp/${1%:*}/${1#*:}" || return
	sleep 0.7
	printf 'GET /nowhere/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: %s\r\n\r\n' "$CALLER_KEY" >&9
	read -r -t 5 line status <&9
	echo "${status%% *}" >"$2"
}
idle_caller() { # GATEWAY: connects, and never asks
	exec 9<>"/dev/tcp/${1%:*}/${1#*:}" && exec sleep 30
}
gone() { ! kill -0 "$(pid_of "$1")"; }
for round in 1 2 3 4 5 6; do
	n=$((round % 3 + 1))
	signal gate$n TERM # it ends after 3.2 s, since it has nothing to do
	sleep 2.7
	for caller in 1 2 3 4; do
		echo none >"$RUN/late.$round.$caller"
		(late_caller "$(node $n 0)" "$RUN/late.$round.$caller") 2>>"$RUN/late.log" &
	done
	(idle_caller "$(node $n 0)") 2>/dev/null &
	echo $! >>"$RUN/pids"
	sleep 0.2
	swarm $n 1 $round
	# without it the stop ends after 3.2 s, with it 1 s later, and not at the end of the grace of 8 s
	is "round $round: a caller that never asks does not keep it" "$(wait_for 2 gone gate$n && echo gone)" gone
	start_gate $n
	wait_for 10 ready $n 200
done
# 404: no route. 503: it stops. 7: it has ended
is "callers of a gateway that ends" "$(cat "$RUN"/swarm.* | grep -v '^\(404 0\|503 0\|000 7\)$' | sort | uniq -c | tr -s ' ')" ""
is "callers that ask 700 ms after they have connected" "$(cat "$RUN"/late.*.* | grep -v '^\(404\|503\)$' | sort | uniq -c | tr -s ' ')" ""
is "and many were answered" "$(($(cat "$RUN"/swarm.* | grep -c ' 0$') > 100))" 1
exit $FAILED
