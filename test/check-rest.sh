#!/usr/bin/env bash
# An endpoint that turned a gateway away and asked it for 3 s of rest got its requests all the same, since it looked idle.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
rests() { # WHAT ENDPOINT...: no gateway sends more to one than what was on its way
	local id most
	for id in "${@:2}"; do
		most=$(tell "in-rest?id=$id")
		is "$1: $id gets $most of a gateway in a rest, of which two are allowed" "$((most <= 2))" 1
	done
}

# one engine of three and one plain endpoint of two
load 1
engine=$(busiest i-e1 i-e2 i-e3)
plain=$(busiest i-p1 i-p2)
for id in $engine $plain; do tell "rest?id=$id&value=3"; done
first=$((sent + 1))
load 7
rests "beside others" $engine $plain
is "the others serve what it leaves" "$(statuses a $first)$(statuses f $first)" " $((sent - first + 1)) 200 $((sent - first + 1)) 200"

# gateways die in turn, the one that grants engines among them: those that live know what was asked of them
for n in 1 2 3; do
	signal gate$n KILL
	sleep 0.2
	start_gate $n
	wait_for 5 ready $n 200
	load 1
done
rests "while gateways die" $engine $plain

# all of them: refused at once, and told when the first rest ends
for id in i-e1 i-e2 i-e3 i-p1 i-p2; do tell "rest?id=$id&value=3"; done
load 1
first=$((sent + 1))
load 4
sleep 2 # prompts may wait for up to 1.5 s where an engine is to be back in that time
rests "with all at rest" i-e1 i-e2 i-e3 i-p1 i-p2
is "nothing is served" "$(statuses a $first)$(statuses f $first)" " $((sent - first + 1)) 503 $((sent - first + 1)) 503"
is "what is refused has not run" "$(for i in $(seq $first "$sent"); do tell "runs?id=$(id_of f $i)"; tell "runs?id=$(id_of a $i)"; done | sort -u)" 0
is "and is told when to come back, within 3 s" "$(for i in $(seq $first "$sent"); do
	for k in a f; do tr -d '\r' <"$RUN/head.$k$i" | awk -F': ' 'tolower($1) == "retry-after" && $2 > 0 && $2 <= 3 { ok = 1 } END { if (!ok) print "no" }'; done
done | wc -l)" 0
first_rest_left() { # GATEWAY: ms until the first of the two plain endpoints may get something from it
	for id in i-p1 i-p2; do tell "rest-left?id=$id&gateway=g$1"; done | sort -n | head -n 1
}
for n in 1 2 3; do # a caller that comes back when it was told finds that the first rest has just ended
	for i in 1 2 3; do call $n /free/x "g$n-all$i" >/dev/null; done # both rest from this gateway now
	before=$(first_rest_left $n) # the answer is told between the two looks, which are processes' starts apart
	call $n /free/x "g$n-r$n" -D "$RUN/head.r$n" >/dev/null
	told=$(tr -d '\r' <"$RUN/head.r$n" | awk -F': ' 'tolower($1) == "retry-after" { print int($2 * 1000) }')
	after=$(first_rest_left $n)
	is "gateway $n tells $told ms, and the first rest ends in $before to $after ms" "$((told >= after - 50 && told <= before + 50))" 1
done
is "operators see who rests" "$(for n in 1 2 3; do "$B/bayhoistctl" --node "$(node $n 3)" endpoints web | awk '$5 > 0 && $5 <= 3000' | wc -l; done | sort -u)" 2
is "lookups are refused within 0.1 s" "$(for i in $(seq $first "$sent"); do awk '$2 > 0.1' "$RUN/status.f$i"; done | wc -l)" 0

# a rest ends by itself
for id in i-e1 i-e2 i-e3 i-p1 i-p2; do tell "rest?id=$id&value="; done
sleep 3
first=$((sent + 1))
load 2
is "after the rest all is served" "$(statuses a $first)$(statuses f $first)" " $((sent - first + 1)) 200 $((sent - first + 1)) 200"
exit $FAILED
