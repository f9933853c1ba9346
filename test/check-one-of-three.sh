#!/usr/bin/env bash
# One of three plain endpoints hangs: connections are set up, and nothing passes. What one gateway notices all know, so
# that few requests that may run only once are lost, and none that may be repeated; when it goes on it is used again.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy --plain i-p3="$(address 9)"
FAILED=0
start_three_gates
ONCE_LOST_MAX=3 # in all, however many gateways there are
callers=
burst() { # SECONDS TAG [PATH]: 20 requests a second over all gateways, each second of which may run only once
	local until=$(($(date +%s%N) + $1 * 1000000000)) i=0 kind
	while [ "$(date +%s%N)" -lt $until ]; do
		i=$((i + 1))
		kind=$([ $((i % 2)) = 0 ] && echo once || echo free)
		call $((i % 3 + 1)) /$kind/${3:-x} "$2$i" -X POST -d x >"$RUN/status.$kind$2$i" &
		callers="$callers $!"
		sleep 0.05
	done
}
failed() { cat "$RUN"/status.$1* | grep -o '...' | grep -vc 200; } # KIND and TAG
burst 3 a
wait $callers
is "all is served before" "$(failed freea)$(failed oncea)" 00
set_link p1 silent
burst 5 b
wait $callers
echo "of $(ls "$RUN"/status.onceb* | wc -l) that may run only once $(failed onceb) are lost"
is "few that may run only once are lost" "$([ "$(failed onceb)" -le $ONCE_LOST_MAX ] && echo yes)" yes
is "none that may be repeated" "$(failed freeb)" 0
is "all gateways know" "$(grep -l 'event=silence what=silent endpoint=i-p1' "$RUN"/gate?.log | wc -l)" 3
is "no other is silent" "$(cat "$RUN"/gate?.log | grep 'event=silence what=silent' | grep -vc endpoint=i-p1)" 0
set_link p1 pass
before=$(arrivals i-p1)
burst 7 c hold/x # which last for a second, so that two endpoints would be busier than three
wait $callers
is "all is served after" "$(failed freec)$(failed oncec)" 00
is "it is used again" "$([ "$(arrivals i-p1)" -gt "$before" ] && echo yes)" yes
is "and all know that too" "$(grep -l 'event=silence what=ended endpoint=i-p1' "$RUN"/gate?.log | wc -l)" 3
exit $FAILED
