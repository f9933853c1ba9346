#!/usr/bin/env bash
# Operators drain a data hall: its endpoints get nothing new from any gateway a moment later, whatever happens to the
# store and the gateways meanwhile, and are used again when that is taken back. Gateways that did not know of it sent
# 1,400 requests in a day to a hall that was drained.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy --hall i-e2=h2 --hall i-p2=h2
FAILED=0
start_three_gates
hall_arrivals() { echo "$(tell "arrivals?id=i-e2")+$(tell "arrivals?id=i-p2")"; }
asks() { # COUNT TAG: prompts at each gateway, and lookups; prints the statuses
	local i n pids=()
	for i in $(seq "$1"); do for n in 1 2 3; do
		ask $n /ask/x "$2$i$n" >"$RUN/status.$2$i$n" &
		pids+=($!)
		call $n /free/x "$2$i$n-f" >"$RUN/status.f$2$i$n" &
		pids+=($!)
	done; done
	wait "${pids[@]}"
	cat "$RUN"/status.$2* "$RUN"/status.f$2* | grep -o '...' | sort | uniq -c | tr -s ' '
}
before=$(hall_arrivals)
asks 3 a >/dev/null
is "a hall in use gets work" "$([ "$(hall_arrivals)" != "$before" ] && echo yes)" yes
# each view by the name of what it lists
view() { curl -s -m 2 -w ' %{http_code}' "http://$(node 1 3)/$1" | grep -oE "^\{ *\"[a-z_]+\"|[0-9]+\$" | tr -d '{ "\n'; }
is "operators can read each view" "$(for v in quarantine endpoints links prefill bookings halls configuration nothing; do echo "$v $(view $v)"; done)" "quarantine requests200
endpoints endpoints200
links links200
prefill services200
bookings bookings200
halls halls200
configuration state200
nothing error404"

tell 'drain-hall?id=h2'
sleep 1
before=$(hall_arrivals)
is "all is served while a hall drains" "$(asks 3 b)" " 18 200"
is "a hall that drains gets nothing" "$(hall_arrivals)" "$before"
is "each gateway says so" "$(grep -l 'event=hall hall=h2 what=drains' "$RUN"/gate?.log | wc -l)" 3
halls() { "$B/bayhoistctl" halls "$@" 2>/dev/null | awk '$1 == "h2"' | tr -s ' ' | cut -d' ' -f"2,6-"; }
gates="$(node 1 3) $(node 2 3) $(node 3 3)"
is "all have heard" "$(halls $gates)" "drains 3/3 "
settings 9 | sed 's/"seeds":\[[^]]*\]/"seeds":[]/' >"$RUN/gate9.json" # its link to the store leads nowhere
start_gate 9
wait_for 5 curl -s -m 1 -o /dev/null "http://$(node 9 3)/halls"
is "operators see who has not heard" "$(halls $gates "$(node 9 3)")" "drains 3/4 $(node 9 3)"
signal gate9 KILL
is "and who does not answer" "$(halls $gates "$(node 9 3)"; "$B/bayhoistctl" halls $gates "$(node 9 3)" 2>&1 >/dev/null)" \
	"drains 3/4 $(node 9 3)
bayhoistctl: $(node 9 3): no answer"
is "metrics say it too" "$(for n in 1 2 3; do curl -s "http://$(node $n 3)/metrics" | grep -c 'bayhoist_hall_draining{hall="h2"} 1'; done | sort -u)" 1

# a gateway starts meanwhile; the store is away, and the reader of it is turned away
signal gate3 KILL
sleep 0.3
start_gate 3
wait_for 5 ready 3 200 || is "gateway 3 gets ready" no yes
is "a gateway that starts serves" "$(ask 3 /ask/x s1)$(call 3 /free/x s2)" 200200
tell down
is "what drains does so in an outage" "$(asks 1 c)" " 6 200"
sleep 1
tell up
for n in 1 2 3; do
	set_link store$n reset
	lookups 1
	set_link store$n pass
done
is "no gateway has sent anything there" "$(hall_arrivals)" "$before"

# the store comes back from a copy in which the hall does not drain; the operator writes it again, after 0.6 s
tell 'use-hall?id=h2'
sleep 1
tell copy
tell 'drain-hall?id=h2'
sleep 1
before=$(hall_arrivals)
tell down
tell go-back
tell up
lookups 3
is "a hall drains on when the store goes back to before that" "$(hall_arrivals)" "$before"

# the last hall
tell 'drain-hall?id=h1'
sleep 1
before="$(hall_arrivals) $(tell 'arrivals?id=i-e1') $(tell 'arrivals?id=i-p1')"
started=$(date +%s%N)
is "with all halls draining callers are refused" "$(ask 1 /ask/x z1 -D "$RUN/head")$(call 2 /free/x z2)$(ask 3 /ask/x z3)" 503503503
is "at once" "$(($(date +%s%N) - started < 1000000000))" 1
is "and told not to come back at once" "$(awk 'tolower($1) == "retry-after:" { print ($2 >= 1) }' "$RUN/head")" 1
is "nothing was sent" "$(hall_arrivals) $(tell 'arrivals?id=i-e1') $(tell 'arrivals?id=i-p1')" "$before"

tell 'use-hall?id=h1'
tell 'use-hall?id=h2'
sleep 1
before=$(hall_arrivals)
is "taken back, all is served" "$(asks 3 d)" " 18 200"
is "and the hall gets work" "$([ "$(hall_arrivals)" != "$before" ] && echo yes)" yes
exit $FAILED
