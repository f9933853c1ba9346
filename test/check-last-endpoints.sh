#!/usr/bin/env bash
# The last endpoints of a service: while no other is left, those in halls that drain are used for as long as the settings
# allow; then all is refused at once, and nothing reaches them later.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
HALL_DRAIN_MS=5000
eval "plain_$(declare -f settings)"
settings() { plain_settings "$1" | sed "s/\"stop_grace_ms\"/\"hall_drain_ms\":$HALL_DRAIN_MS,&/"; }
start_site --hall i-e2=h2 --hall i-p2=h2
FAILED=0
start_three_gates
plain_arrivals() { echo $(($(arrivals i-p1) + $(arrivals i-p2))); }
lookups 1
tell 'drain-hall?id=h1'
sleep 1
before=$(arrivals i-p1)
lookups 1
is "a hall that drains gets nothing while there is another" "$(arrivals i-p1)" "$before"

first=$((requests + 1))
began_ms=$(($(date +%s%N) / 1000000))
tell 'drain-hall?id=h2'
lookups 2
is "the last endpoints serve on" "$(for i in $(seq $first $requests); do echo "$(cat "$RUN/status.l$i")"; done | sort | uniq -c | tr -s ' ')" \
	" $((requests - first + 1)) 200"
is "and the gateways say so" "$(grep -l 'event=last-endpoint service=web .*state=drained' "$RUN"/gate?.log | wc -l)" 3
is "at most once a second" "$(for n in 1 2 3; do [ "$(grep -c event=last-endpoint "$RUN/gate$n.log")" -le 4 ] && echo yes; done | sort | uniq -c | tr -s ' ')" " 3 yes"
is "metrics say it too" "$(for n in 1 2 3; do curl -s "http://$(node $n 3)/metrics" | awk '$1 == "bayhoist_last_endpoint_sendings_total" { print ($2 > 0) }'; done | sort -u)" 1
while [ $(($(date +%s%N) / 1000000)) -lt $((began_ms + HALL_DRAIN_MS)) ]; do
	lookups 1
	[ -n "${refused:-}" ] || [ "$(cat "$RUN/status.l$requests")" = 200 ] || refused=$(($(date +%s%N) / 1000000 - began_ms))
done
is "they are used for most of the time" "$([ "${refused:-$HALL_DRAIN_MS}" -gt 2500 ] && echo yes)" yes
before=$(plain_arrivals)
started=$(date +%s%N)
is "after it all is refused" "$(call 1 /free/x z1)$(call 2 /free/x z2)$(call 3 /once/x z3 -d x)" 503503503
is "at once" "$(($(date +%s%N) - started < 1000000000))" 1
lookups 2
is "nothing arrives after it" "$(plain_arrivals)" "$before"
tell 'use-hall?id=h1'
sleep 1
is "taken back, all is served" "$(call 1 /free/x y1)$(call 2 /free/x y2)$(call 3 /free/x y3)" 200200200
exit $FAILED
