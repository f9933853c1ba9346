#!/usr/bin/env bash
# Endpoints fall silent for a second and go on: what runs there is neither broken off nor run twice, and they are used again soon.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy
FAILED=0
start_three_gates
SILENCE_MS=1000
silence() { # ENDPOINT...: no packet of any gateway passes; the proxy ends it, since calls from here take longer on a busy machine
	local l n
	for l in "$@"; do for n in 1 2 3; do set_link "${l#i-}" dark $SILENCE_MS "127.0.0.$((10 + n))" || is "$l falls silent" no yes; done; done
	sleep 1.2
}
load 2
round=0
for silent in i-e1 i-e2 "i-e1 i-e2 i-e3" i-p1 "i-p1 i-p2"; do
	round=$((round + 1))
	load 3 &
	loading=$!
	sleep 0.5
	# long ones run there already
	callers=
	for i in 1 2 3 4 5 6; do ask $((i % 3 + 1)) /ask/long/x "r$round-long$i" >"$RUN/status.long$i" & callers="$callers $!"; done
	call 1 /once/hold/x "r$round-once" -d x >"$RUN/status.once" & callers="$callers $!"
	sleep 0.3
	before=$(cat "$RUN"/gate[123].log | grep -c "event=sent .*end=\(broken\|silent\)")
	silence $silent
	wait $callers
	is "$silent: what runs is served" "$(for i in 1 2 3 4 5 6; do echo "$(cat "$RUN/status.long$i")"; done | sort | uniq -c | tr -s ' ')" " 6 200"
	is "$silent: also what must not run twice" "$(cat "$RUN/status.once")" 200
	is "$silent: run once" "$(for i in 1 2 3 4 5 6; do echo "$(tell "runs?id=r$round-long$i")"; done | sort | uniq -c | tr -s ' ')$(tell "runs?id=r$round-once")" " 6 11"
	is "$silent: nothing is broken off" "$(cat "$RUN"/gate[123].log | grep -c "event=sent .*end=\(broken\|silent\)")" "$before"
	wait $loading
	sleep 2
done
exit $FAILED
