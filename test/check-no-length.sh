#!/usr/bin/env bash
# An answer may have neither a length nor chunks and end with its connection, and so does the connection of a process
# that dies. Such a piece of an answer was handed on as whole, also an empty one, and its request counted as served.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
engines=
for n in $(seq 4 10); do engines="$engines --engine i-e$n=$(address $((100 + n)))"; done
plain=
for n in 3 4 5; do plain="$plain --plain i-p$n=$(address $((120 + n)))"; done
start_site $engines $plain
start_three_gates
events() { grep -c '^data: ' "$RUN/body"; }
rest() { sleep 1; } # until an endpoint that has died is back
is "a stream without a length is served" "$(ask 1 /ask/no-length/x w1) $(events)" "200 10"
is "a whole answer without a length is served" "$(call 2 /free/no-length/x w2) $(wc -l <"$RUN/body")" "200 3"
is "one to a caller over HTTP/1.0" "$(ask 3 /ask/no-length/x w3 --http1.0) $(events)" "200 10"
is "the caller's connection goes on after it" "$(curl -s -m 5 -H 'Host: a.example' -H "X-Api-Key: $CALLER_KEY" -H 'X-Time-Budget-Ms: 4000' \
	-o /dev/null -o /dev/null -w '%{http_code} %{num_connects} ' -H "X-Attempt-Id: w4" "http://$(node 1 0)/free/no-length/x" "http://$(node 1 0)/free/no-length/x")" "200 1 200 0 "
is "a HEAD request is answered" "$(call 1 /free/no-length/x w5 -I)" 200
is "a failure without a length is handed on" "$(call 1 /once/no-length/fail/x w6)" 500

is "a stream whose engine dies before its first event comes whole from another" "$(ask 1 /ask/no-length/die/x d1) $(events)" "200 10"
rest
is "so does one whose engine dies between events" "$(ask 2 /ask/no-length/die-late/x d2) $(events)" "200 10"
is "with each event once" "$(grep '^id: ' "$RUN/body" | sort | uniq -d | wc -l)" 0
rest
is "an answer whose endpoint dies comes from another, and is not empty" "$(call 3 /free/no-length/die/x d3) $(wc -l <"$RUN/body")" "200 3"
rest
is "one that may run only once fails" "$(call 1 /once/no-length/die/x d4)" 502
is "and is not run again" "$(tell 'runs?id=d4')" 1
rest
# the same of an endpoint that leaves: what runs on it is under way when its process ends
leaving() { # HOW ENDPOINTS ID COMMAND...: the endpoint that gets the request of this id drains, or is gone, before it dies
	local how=$1 ids=$2 id=$3 e was=
	for e in $ids; do was="$was $e=$(arrivals $e)"; done
	shift 3
	"$@" >"$RUN/status.$id" &
	for tries in 1 2 3 4 5 6 7 8; do
		sleep 0.05
		for e in $ids; do [[ "$was " == *" $e=$(arrivals $e) "* ]] || break 2; done
	done
	tell "$how?id=$e"
	wait $!
	tell "back?id=$e" # its entry is written anew
	cat "$RUN/status.$id"
	sleep 0.5
}
ENGINES=$(for n in 1 2 3 4 5 6 7 8 9 10; do echo "i-e$n"; done)
PLAIN=$(for n in 1 2 3 4 5; do echo "i-p$n"; done)
for how in drain gone; do
	is "$how: a stream whose engine leaves and ends between events comes whole from another" \
		"$(leaving $how "$ENGINES" l1$how ask 1 /ask/no-length/long/die-late/x l1$how) $(event_ids "$RUN/body")" "200 1 2 3 4 5 6 7 8 9 10 "
	is "$how: one whose engine leaves and lives is whole, and runs once" "$(leaving $how "$ENGINES" l2$how ask 2 /ask/no-length/long/x l2$how) $(event_ids "$RUN/body")$(tell "runs?id=l2$how")" "200 1 2 3 4 5 6 7 8 9 10 1"
	is "$how: an answer whose endpoint leaves and ends comes from another" "$(leaving $how "$PLAIN" l3$how call 3 /free/no-length/hold/die/x l3$how) $(wc -l <"$RUN/body")" "200 3"
	is "$how: one that may run only once fails" "$(leaving $how "$PLAIN" l4$how call 1 /once/no-length/hold/die/x l4$how) $(tell "runs?id=l4$how")" "502 1"
	is "$how: one whose endpoint leaves and lives is whole" "$(leaving $how "$PLAIN" l5$how call 2 /once/no-length/hold/x l5$how) $(wc -l <"$RUN/body")$(tell "runs?id=l5$how")" "200 31"
	rest
done
before=$(tell crashes)
for i in 1 2 3 4 5 6 7 8; do
	ask $((i % 3 + 1)) /ask/no-length/x "e$i" -H "X-Prompt-Prefix: aa:40,dead02:900,f$i:9" -d "prompt $i" >"$RUN/status.e$i" &
	sleep 0.25
done
wait $!
crashes=$(($(tell crashes) - before))
is "a part that crashes engines is known by such answers too: 5 at most" "$((crashes <= 5)) of $crashes" "1 of $crashes"
is "and no caller got a part of an answer as whole" "$(cat "$RUN"/status.e* | grep -c '^200')" 0
exit $FAILED
