#!/usr/bin/env bash
# An answer that its caller still reads is under way until it has left the gateway: one that stops, or that closes the connection
# after it, cut the end of answers that were read slowly. Who reads nothing holds nobody up past the grace.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
FLOOD=$((8 * 1024 * 1024 + $(printf 'id: 1\ndata: piece 1\n\n' | wc -c))) # of "/flood/", fake_site.c
start_three_gates
config 2 key1 | sed 's/"timeout-ms":3000/"timeout-ms":9000/g' >"$RUN/config"
tell config -d "@$RUN/config"
sleep 1.5
# Answers of up to 1,100 kB: of some of them the end fits in the gateway's buffer and not in the kernel's.
stalling() { # N STALL_MS: 111 callers of gateway N that read nothing for so long, and then all
	"$B/bh-slow-callers" "$(node $1 0)" 111 "/free/kilobytes=%u0/x" $CALLER_KEY 0 0 $2
}
read_at() { # RATE N ID: a caller that reads so fast
	curl -s -m 12 --limit-rate "$1" -o "$RUN/slow.$3" "http://$(node "$2" 0)/free/flood/x" -H 'Host: a.example' -H "X-Attempt-Id: $3" \
		-H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: $CALLER_KEY"
}
is_gone() { ! kill -0 "$(pid_of "gate$1")" 2>/dev/null; }
seconds() { echo $((($(date +%s%N) - $1) / 1000000)); } # SINCE: in ms

is "callers that read nothing for 3 s have whole answers" "$(stalling 3 3000)" "closed=111 200=111 whole=111"
stopped=$(date +%s%N)
signal gate1 TERM
sleep 0.5
is "so they have of a gateway that stops" "$(stalling 1 3000)" "closed=111 200=111 whole=111"
wait_for 2 is_gone 1
is "and it ends after them, within its grace" "$((($(seconds $stopped) < 8500)))" 1

stopped=$(date +%s%N)
signal gate2 TERM
read_at 1 2 n1 >/dev/null & # it reads next to nothing
wait_for 10 is_gone 2
is "a caller that reads nothing holds a gateway up until its grace is over" "$((($(seconds $stopped) < 9000)))" 1

sleep 0.5
stopped=$(date +%s%N)
signal gate3 TERM
wait_for 10 is_gone 3
took=$(seconds $stopped)
is "an idle gateway ends within a second of the 3.2 s in which callers still come" "$((took < 4200)) after $took" "1 after $took"
exit $FAILED
