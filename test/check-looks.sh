#!/usr/bin/env bash
# What gateways learn of the platform from each other: three of them, each with a link of its own to the store.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy
FAILED=0
start_three_gates

before=$(tell calls)
sleep 3
is "at rest they look as often as one alone would" "$(($(tell calls) - before <= 15))" 1
for version in 2 3 4 5; do
	config $version key$version >"$RUN/config"
	tell config -d "@$RUN/config"
	sleep 0.3
done
CALLER_KEY=key5
is "a change is in force on all" "$(ask 1 /ask/x c1)$(ask 2 /ask/x c2)$(ask 3 /ask/x c3)" 200200200
is "and one of them has read it" "$(($(tell calls) - before <= 30))" 1

for n in 1 2 3; do
	set_link store$n reset
	sleep 0.2
	config 1$n key1$n >"$RUN/config"
	tell config -d "@$RUN/config"
	sleep 1
	CALLER_KEY=key1$n
	is "a change just after the store turned gateway $n away is in force on the others" \
		"$(ask $((n % 3 + 1)) /ask/x f$n)$(ask $(((n + 1) % 3 + 1)) /ask/x g$n)" 200200
	CALLER_KEY=key1$n
	is "gateway $n, turned away by the store, has the change from the others" "$(ask $n /ask/x r$n)" 200
	sleep 3
	is "and goes on for longer than keys may be believed without news" "$(ask $n /ask/x s$n)" 200
	set_link store$n pass
	sleep 1
done
tell 'drain?id=i-e1'
sleep 1.2
before=$(tell 'arrivals?id=i-e1')
for i in 1 2 3 4 5 6; do ask $((i % 3 + 1)) /ask/x d$i >/dev/null; done
is "all hear of an endpoint that leaves" "$(tell 'arrivals?id=i-e1')" "$before"

looked_again() { grep -q 'event=looks what=looked-again' "$RUN"/gate[123].log; }
before=$(cat "$RUN"/gate[123].log | grep -c 'event=store what=lost key=servers/')
for n in 1 2 3; do set_link store$n lost; done
wait_for 5 looked_again
for n in 1 2 3; do set_link store$n pass; done
sleep 1
is "a look that was swallowed is sent again" "$(looked_again && echo yes)" yes
is "and no store is taken for lost" "$(cat "$RUN"/gate[123].log | grep -c 'event=store what=lost key=servers/')" "$before"

tell down
sleep 2
before=$(tell calls)
sleep 4
is "in an outage they look seldom" "$(($(tell calls) - before <= 40))" 1
tell up
sleep 0.8
is "and serve soon after it" "$(ask 1 /ask/x u1)$(ask 2 /ask/x u2)$(ask 3 /ask/x u3)" 200200200
exit $FAILED
