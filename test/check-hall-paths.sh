#!/usr/bin/env bash
# Three gateways in three halls. Connections between two of the halls, or between one and all others, can't be set up any more, while callers
# reach all: requests go through a third hall or stay on their side, and no node is declared dead.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
AIM=97     # in 100 first tries, from a second after the cut began, in halls that hear
AIM_CUT=90 # in the hall that hears nothing
set_path() { # MODE FROM TO: connections from one hall to another
	local l
	for l in $(links_into "$3"); do set_link $l "$1" 0 "127.0.0.$((10 + $2))"; done
}
set_pair() { set_path "$1" "$2" "$3"; set_path "$1" "$3" "$2"; } # neither can connect to the other, whichever direction is dead
lost() { "$B/bayhoistctl" --node "$(node "$1" 3)" paths | grep -c 'path lost'; }
scheduler() { grep -h 'event=scheduler service=llm' "$RUN/gate$1.log" | tail -n 1 | sed 's/.*node=gate\([0-9]\).*/\1/'; }

start_site_in_halls
for n in 1 2 3; do settings_in_halls $n >"$RUN/gate$n.json"; start_gate $n; done
config 1 key1 >"$RUN/config"
tell config -d "@$RUN/config"
for n in 1 2 3; do wait_for 10 ready $n 200 || is "gateway $n gets ready" no yes; done
sleep 1.5

load 2
is "at rest no path is lost" "$(lost 1)$(lost 2)$(lost 3)" 000
set_pair dark 1 3
load 1
is "one pair: both halls know it, the third holds its own paths for open" "$(lost 1)$(lost 2)$(lost 3)" 101
first=$((sent + 1))
load 4
at_least "one pair: first tries at these" "$(share $first 1 3)" $AIM
at_least "one pair: first tries at the third" "$(share $first 2)" $AIM
is "one pair: the third hall schedules" "$(scheduler 1)$(scheduler 2)$(scheduler 3)" 222
set_pair pass 1 3
load 2
is "one pair, afterwards: no path is lost" "$(lost 1)$(lost 2)$(lost 3)" 000
first=$((sent + 1))
load 1
at_least "one pair, afterwards" "$(share $first 1 2 3)" 100

set_pair dark 1 3
set_pair dark 2 3
load 1
is "one hall with all: each knows it" "$(lost 1)$(lost 2)$(lost 3)" 112
first=$((sent + 1))
load 4
at_least "one hall with all: first tries in the others" "$(share $first 1 2)" $AIM
at_least "one hall with all: first tries in that hall" "$(share $first 3)" $AIM_CUT
is "one hall with all: it schedules for itself" "$(scheduler 3)" 3
set_pair pass 1 3
set_pair pass 2 3
load 2
is "one hall with all, afterwards: no path is lost" "$(lost 1)$(lost 2)$(lost 3)" 000
sleep 2
first=$((sent + 1))
load 1
at_least "one hall with all, afterwards" "$(share $first 1 2 3)" 100
is "no node was declared dead" "$(cat "$RUN"/gate[123].log | grep -c 'event=member .*state=dead')" 0
for i in $(seq $sent); do tell "runs?id=$(id_of f $i)"; done | sort -n | tail -n 1 >"$RUN/most"
is "no lookup runs more often than its route allows" "$(($(cat "$RUN/most") <= 2))" 1
exit $FAILED
