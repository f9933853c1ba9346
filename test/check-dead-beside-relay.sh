#!/usr/bin/env bash
# A dead engine is left after its wait also by a node that has no other requests of its own than those there. What the node relays for a peer shows that the other engines go on.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy
FAILED=0
start_three_gates "$(config 1 key1 | sed "s/\"slots\":16/\"slots\":1/")" # each engine takes one
signal gate3 KILL # one peer is left, through which all goes
sleep 3
engine_of() { grep "event=send request=$1 " "$RUN/gate$2.log" | tail -n 1 | sed 's/.* endpoint=i-\(e[0-9]\) .*/\1/'; } # REQUEST GATEWAY
long() { # GATEWAY ID PROMPT,ANSWER
	call "$1" /ask/long/x "$2" -H "X-Token-Usage: $3" -d 'a prompt' -o "$RUN/body.$2" >"$RUN/status.$2"
}
# 0.4 s between the events of a stream, 1.7 s without one, and a look.
LOOKED_MS=$((400 + 1700 + 200))
judged=0
for round in 1 2 3; do
	cut_endpoints dark 1
	for i in 1 2 3; do ask 1 /ask/x "learn$round$i" >/dev/null; done
	sleep 2.5 # what node 2 has heard is long ago
	callers=
	long 1 "relayed$round" 3000,100 & callers="$callers $!"
	sleep 0.3
	long 2 "own$round" 3000,100 & callers="$callers $!"
	sleep 0.9
	own=$(engine_of "own$round" 2) relayed=$(engine_of "relayed$round" 1)
	set_link "$own" lost
	died_ms=$(($(date +%s%N) / 1000000))
	if [ "$own" != "$relayed" ] && grep -q "what=through request=relayed$round " "$RUN/gate1.log"; then
		judged=$((judged + 1))
		# the log is written some time later
		is_left() { grep -q "event=sent request=own$round .* end=silent" "$RUN/gate2.log"; }
		wait_for 8 is_left
		left_us=$(grep "event=overdue request=own$round .* what=replace" "$RUN/gate2.log" | head -n 1 | sed 's/.*time_us=\([0-9]*\) .*/\1/')
		took_ms=$((${left_us:-$((died_ms * 1000 + 8000000))} / 1000 - died_ms))
		is "round $round: another engine is looked for after $took_ms ms, of which $LOOKED_MS are allowed" "$((took_ms <= LOOKED_MS))" 1
	fi
	wait $callers
	grep "event=overdue request=own$round" "$RUN/gate2.log" | sed 's/.*what=/overdue: what=/'
	set_link "$own" pass
	cut_endpoints pass 1
	sleep 3
done
is "$judged rounds had a relayed stream at another engine, of which one is needed" "$((judged > 0))" 1
[ -z "${KEEP:-}" ] || { mkdir -p "$KEEP"; cp "$RUN"/gate[12].log "$KEEP"; }
exit $FAILED
