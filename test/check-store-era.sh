#!/usr/bin/env bash
# The platform's store comes back from a copy that is some seconds old, with revisions that are given out again. What was
# acknowledged before it went back still binds: an endpoint that left is not used, a key that was taken away does not work
# again, and a version of the configuration is not replaced by an older one. What comes after is heard of as before: nodes
# that went by revisions alone took all of it for old, until the store had come as far again.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy
FAILED=0
start_three_gates
tell copy
sleep 3 # check-ins, whose revisions will be given out again
tell 'gone?id=i-p1'
tell 'drain?id=i-e1'
config 2 key2 >"$RUN/config"
tell config -d "@$RUN/config"
sleep 1
CALLER_KEY=key2
is "a change is in force" "$(ask 1 /ask/x c1)$(ask 2 /ask/x c2)$(ask 3 /ask/x c3)" 200200200
left=$(arrivals i-p1)
drained=$(arrivals i-e1)

tell down
sleep 0.5
tell go-back
tell up
before=$(arrivals i-p2)
lookups 3
is "an endpoint that left before is not used" "$(arrivals i-p1)" "$left"
is "the others are, all the while" "$(($(arrivals i-p2) - before))" "$requests"
CALLER_KEY=key1
is "a key that was taken away does not work again" "$(ask 1 /ask/x k1)$(ask 2 /ask/x k2)$(ask 3 /ask/x k3)" 401401401
CALLER_KEY=key2
is "one that was given goes on working" "$(ask 1 /ask/x n1)$(ask 2 /ask/x n2)$(ask 3 /ask/x n3)" 200200200
is "an endpoint that said it leaves gets nothing" "$(arrivals i-e1)" "$drained"
is "each gateway has noticed" "$(grep -l 'event=store what=era' "$RUN"/gate?.log | wc -l)" 3
is "operators see the era, and that what each knows is young" "$(for n in 1 2 3; do
	curl -s "http://$(node $n 3)/metrics" | awk '$1 == "bayhoist_store_era" && $2 == 1 || $1 == "bayhoist_endpoints_age_ms" && $2 < 2000' | wc -l
done | sort -u)" 2

config 3 key3 >"$RUN/config"
tell config -d "@$RUN/config"
tell 'drain?id=i-e2'
sleep 1.2
CALLER_KEY=key3
drained=$(arrivals i-e2)
is "a change after that is in force" "$(ask 1 /ask/x d1)$(ask 2 /ask/x d2)$(ask 3 /ask/x d3)" 200200200
is "an endpoint that leaves after that gets nothing" "$(arrivals i-e2)" "$drained"
tell 'back?id=i-p1'
tell 'gone?id=i-p2'
sleep 1.2
before=$(arrivals i-p1)
requests=0
lookups 1
is "one that is back after that is used" "$(($(arrivals i-p1) - before))" "$requests"

tell down
sleep 0.2
signal gate2 KILL
sleep 0.2
start_gate 2
tell up
wait_for 5 ready 2 200
is "a gateway that starts goes on from there" "$(ask 2 /ask/x s2)" 200

tell copy
sleep 1
config 4 key4 >"$RUN/config"
tell config -d "@$RUN/config"
sleep 1
tell down
sleep 0.3
tell go-back # to the third version
tell up
sleep 1
for n in 1 2 3; do
	signal gate$n KILL
	sleep 0.2
	start_gate $n
	wait_for 5 ready $n 200
	sleep 1.5
	CALLER_KEY=key4
	answers=$(ask $n /ask/x v$n)
	CALLER_KEY=key3
	is "gateway $n, started before a configuration is written again, has the one in force from the others" \
		"$answers $(ask $n /ask/x w$n)" "200 401"
done
exit $FAILED
