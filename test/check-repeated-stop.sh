#!/usr/bin/env bash
# A gateway that stops is told to stop once more, and to reload its settings: the streams under way were cut. They end whole; SIGINT ends it at once.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
have_ended() { ! kill -0 "$(pid_of "gate$1")" 2>/dev/null; }
stream() { # N ID: one of 4 s
	curl -s -m 12 -o "$RUN/body.$2" -w '%{http_code}' "http://$(node "$1" 0)/ask/long/x" -H 'Host: a.example' -H "X-Attempt-Id: $2" \
		-H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: $CALLER_KEY" -H 'X-Token-Usage: 3000,100' -d 'a prompt' >"$RUN/status.$2"
}
begin() { # ROUND: nine streams at gateway 1
	local i
	callers= ids=
	for i in $(seq 9); do
		stream 1 "$1-$i" & callers="$callers $!"
		ids="$ids $1-$i"
	done
	sleep 0.5
}
whole() { # of the round's streams, which have ended
	local id n=0
	for id in $ids; do [ "$(cat "$RUN/status.$id") $(event_ids "$RUN/body.$id")" = "200 1 2 3 4 5 6 7 8 9 10 " ] && n=$((n + 1)); done
	echo $n
}

start_three_gates
begin twice
for i in 1 2 3; do
	signal gate1 TERM
	sleep 0.3
	signal gate1 HUP
	sleep 0.3
done
wait $callers
is "streams of a gateway that is told three times to stop" "$(whole)" 9
wait_for 10 have_ended 1
is "it says that it stops already" "$(grep -c 'event=stop what=repeated' "$RUN/gate1.log")" 2

# A process that starts at the same addresses before the old one is gone says so and ends; the old one's streams are whole.
start_gate 1
wait_for 10 ready 1 200
sleep 1
begin beside
old=$(pid_of gate1)
signal gate1 TERM
sleep 0.3
"$B/bayhoist-gate" --config "$RUN/gate1.json" >"$RUN/second.log" 2>&1
is "one that starts beside it ends with status 69" $? 69
is "and names the cause" "$(grep -c 'event=start-failed' "$RUN/second.log")" 1
wait $callers
is "streams of the gateway that stops beside it" "$(whole)" 9
wait_for 10 eval "! kill -0 $old"

# An operator who will not wait.
start_gate 1
wait_for 10 ready 1 200
sleep 1
begin impatient
signal gate1 TERM
sleep 0.3
signal gate1 INT
wait_for 2 have_ended 1 || is "SIGINT after SIGTERM ends it at once" no yes
wait $callers
exit $FAILED
