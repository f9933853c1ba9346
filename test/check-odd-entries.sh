#!/usr/bin/env bash
# Entries that another writer left among those of the endpoints: they name no endpoint to use, and the others hold, at all
# nodes alike. No process ends, all is read on, and the log holds lines of the gateways only.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
entry() { tell "entry?key=$1" --data-binary @-; } # KEY: what another writer writes, from standard input
knows() { curl -s -m 2 "http://$(node "$1" 3)/endpoints" | grep -o '"id": *"[^"]*"' | cut -d'"' -f4 | sort | tr '\n' ' '; } # N
served() { # WHAT: lookups of the last lookups() are all served
	is "$1" "$(for n in $(seq $first $requests); do cat "$RUN/status.l$n"; echo; done | sort | uniq -c | tr -s ' ')" " $((requests - first + 1)) 200"
}
look() { first=$((requests + 1)); lookups "$1"; } # SECONDS
lines() { cat "$RUN"/gate?.log | grep -c "$1"; } # PATTERN

# Over the entry of an endpoint that lives: who hears of the change and who reads the list see the same.
ALL="i-e1 i-e2 i-e3 i-p1 i-p2 "
is "all are known" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
printf 'no entry' | entry servers/i-p1
sleep 1.5
before=$(tell 'arrivals?id=i-p1')
look 2
served "lookups are served while an odd entry stands over that of an endpoint"
is "who hears of it uses that endpoint no more" "$(tell 'arrivals?id=i-p1')" "$before"
signal gate3 KILL
sleep 0.3
start_gate 3
is "a gateway that starts beside it gets ready" "$(wait_for 5 ready 3 200 && echo yes)" yes
sleep 1
REST="i-e1 i-e2 i-e3 i-p2 "
is "all gateways know the same" "$(knows 1)$(knows 2)$(knows 3)" "$REST$REST$REST"
before=$(tell 'arrivals?id=i-p1')
look 2
is "nor does who reads the list" "$(tell 'arrivals?id=i-p1')" "$before"
tell 'back?id=i-p1'
sleep 1.5
is "its own entry is taken by all" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
exit $FAILED
