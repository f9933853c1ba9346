#!/usr/bin/env bash
# An engine falls silent for good after an event that was too large for the caller's buffer: it is left after its wait, as after any other.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
LEFT_MS=$((1700 + 500)) # the wait, and what a loaded machine adds
sent_to() { grep "event=send request=$1 " "$RUN/gate1.log" | tail -n 1 | sed 's/.* endpoint=\([^ ]*\) .*/\1/'; }
is_left() { grep -q "event=sent request=$1 .* end=silent" "$RUN/gate1.log"; }
for path in long bulk; do # small events, and large ones
	[ $path = long ] && events=10 || events=80
	ask 1 "/ask/$path/x" "$path" >"$RUN/status.$path" & caller=$!
	sleep 1
	engine=$(sent_to $path)
	tell "hang?id=$engine"
	hung_ms=$(($(date +%s%N) / 1000000))
	wait_for 8 is_left $path
	took_ms=$(($(date +%s%N) / 1000000 - hung_ms))
	is "$path: the engine is left after $took_ms ms, of which $LEFT_MS are allowed" "$((took_ms <= LEFT_MS))" 1
	wait $caller
	is "$path: the stream is whole" "$(cat "$RUN/status.$path") $(grep -c '^id:' "$RUN/body") $(grep '^id:' "$RUN/body" | uniq -d | wc -l)" "200 $events 0"
	tell "go-on?id=$engine"
	sleep 1
done
[ -z "${KEEP:-}" ] || { mkdir -p "$KEEP"; cp "$RUN"/gate1.log "$KEEP"; }
exit $FAILED
