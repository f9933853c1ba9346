#!/usr/bin/env bash
# Endpoints that name in their answers how many requests a second they take of all gateways together get no more, whatever
# the gateways do meanwhile: what they leave goes elsewhere, or is refused at once and told when to come back. Each of three
# gateways that sent what it had gave two such endpoints up to 29 requests in 4 s where 21 were allowed.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
within() { # WHAT ENDPOINT...: none got more than its limit allows in any 4 s
	local id have
	for id in "${@:2}"; do
		have=$(tell "most?id=$id")
		is "$1: $id gets $have in 4 s, which is within its limit" "$((${have% of*} <= ${have#*of }))" 1
	done
}

# two engines of three, and one plain endpoint of two
for id in i-e1 i-e3 i-p1; do tell "limit?id=$id&per-s=1"; done
load 9
within "beside others" i-e1 i-e3 i-p1
is "the others serve what it leaves" "$(statuses a 1)$(statuses f 1)" " $sent 200 $sent 200"
is "each gateway knows of it" "$(grep -l 'event=limit what=\(named\|told\) endpoint=i-p1 per_s=1.000' "$RUN"/gate?.log | wc -l)" 3

# the gateways die in turn, those who count among them, and start again
first=$((sent + 1))
for n in 1 2 3; do
	load 2
	signal gate$n KILL
	sleep 0.2
	start_gate $n
	wait_for 5 ready $n 200 || is "gateway $n gets ready" no yes
done
load 2
within "while gateways die" i-e1 i-e3 i-p1

# all of them: the rest is refused at once, and what each takes is used
for id in i-e1 i-e2 i-e3 i-p1 i-p2; do tell "limit?id=$id&per-s=2"; done
load 3 # until all have said so
first=$((sent + 1))
before="$(arrivals i-p1) $(arrivals i-p2)"
load 8
within "with all limited" i-e1 i-e2 i-e3 i-p1 i-p2
set -- $before
used=$(($(arrivals i-p1) - $1 + $(arrivals i-p2) - $2))
is "four fifths of what they take are used, $used of 32" "$((used >= 26))" 1
late=$(for i in $(seq $first "$sent"); do [ "$(status_of f $i)" = 503 ] && tell "runs?id=$(id_of f $i)"; done | sort -u)
is "what is refused has not run" "$late" 0
is "and is told when to come back" "$(for i in $(seq $first "$sent"); do
	[ "$(status_of f $i)" = 503 ] && ! grep -qi '^retry-after: [0-9.]*[1-9]' "$RUN/head.f$i" && echo "f$i"
done | wc -l)" 0

# no limit any more
for id in i-e1 i-e2 i-e3 i-p1 i-p2; do tell "limit?id=$id&per-s="; done
load 3
first=$((sent + 1))
load 2
is "without limits all is served" "$(statuses a $first)$(statuses f $first)" " $((sent - first + 1)) 200 $((sent - first + 1)) 200"
exit $FAILED
