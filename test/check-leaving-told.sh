#!/usr/bin/env bash
# Endpoints that said in their answers that they leave got requests for ten seconds more, since only their entries in the
# store counted, and the store was away.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
KEY_TRUST_MS=60000 # the store's outages are longer than that of other tests
start_site
FAILED=0
start_three_gates
is_served() { # WHAT: all requests since the last time
	is "$1: all are served" "$(statuses a $((served + 1)))$(statuses f $((served + 1)))" " $((sent - served)) 200 $((sent - served)) 200"
	served=$sent
}
served=0
is_left() { # WHAT: nothing goes any more to those that leave
	is "$1: an engine that leaves gets nothing" "$(tell "after-leaving?id=$engine") $(($(arrivals $engine) - e1))" "0 0"
	is "$1: a plain endpoint that leaves gets nothing" "$(tell "after-leaving?id=$plain") $(($(arrivals $plain) - p1))" "0 0"
	is_served "$1"
}
mark() { e1=$(arrivals $engine); p1=$(arrivals $plain); }

# The store is away when they begin to leave. Each gateway that asks one hears of it, and so do the others.
tell down
load 1
engine=$(busiest i-e1 i-e2 i-e3)
plain=$(busiest i-p1 i-p2)
for id in $engine $plain; do tell "leaving?id=$id&value=1"; done
load 3
is "every gateway knows of both" "$(grep -l 'kind=leaving what=\(heard\|told\) endpoint='$engine "$RUN"/gate?.log | wc -l) $(grep -l 'kind=leaving what=\(heard\|told\) endpoint='$plain "$RUN"/gate?.log | wc -l)" "3 3"
is "operators see it" "$("$B/bayhoistctl" --node "$(node 1 3)" endpoints | awk '$4 == "leaving" { print $1 }' | sort | tr '\n' ' ')" "$(printf '%s\n' $engine $plain | sort | tr '\n' ' ')"
mark
load 3
is_left "in an outage"

# The store is back, and their entries still say that they are ready.
tell up
load 4
is_left "against entries that say otherwise"

# Entries lapse in an outage and come back.
tell down
tell lapse
load 1
tell up
load 3
is_left "against entries that come back"

# A gateway that starts anew is told by the others.
signal gate2 KILL
sleep 0.3
start_gate 2
wait_for 5 ready 2 200
sleep 1
load 2
is_left "at a gateway that has started"

# All of a service leave: callers are told at once, and nothing has run.
for id in i-e1 i-e2 i-e3 i-p1 i-p2; do tell "leaving?id=$id&value=1"; done
load 2
first=$((sent + 1))
load 1
is "where all leave nothing is served" "$(statuses a $first)$(statuses f $first)" " $((sent - first + 1)) 503 $((sent - first + 1)) 503"
is "and nothing has run" "$(for i in $(seq $first "$sent"); do tell "runs?id=$(id_of a $i)"; tell "runs?id=$(id_of f $i)"; done | sort -u)" 0

# Later starts of theirs know nothing of it.
for id in i-e1 i-e2 i-e3 i-p1 i-p2; do tell "start-again?id=$id"; done
sleep 1.5
served=$sent
mark
load 3
is "a later start is used" "$(($(arrivals $engine) > e1)) $(($(arrivals $plain) > p1))" "1 1"
is_served "a later start"
exit $FAILED
