#!/usr/bin/env bash
# What is under way when a gateway stops, and what happens beside the stop: each request is whole, or refused truly before it ran.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
callers=

now_ms() { echo $(($(date +%s%N) / 1000000)); }
stream() { # N ID [PATH [CURL OPTIONS...]]: ten events, 4 s unless the path says otherwise; what curl says of its end
	curl -sN -m 12 -o "$RUN/body.$2" -w '%{http_code} %{exitcode}' "http://$(node "$1" 0)${3:-/ask/long/x}" -H 'Host: a.example' \
		-H "X-Attempt-Id: $2" -H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: $CALLER_KEY" -H 'X-Token-Usage: 3000,100' -d 'a prompt' "${@:4}" >"$RUN/status.$2"
}
slow_body() { # N ID KIND SECONDS: one whose body has a length or comes in chunks, and takes so long; in the end its first half only if 0
	local fd
	exec {fd}<>"/dev/tcp/$(node "$1" 0 | tr : /)" || return
	printf 'POST /ask/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: 9000\r\nX-Api-Key: %s\r\nX-Token-Usage: 3000,100\r\n' "$2" "$CALLER_KEY" >&$fd
	case $3 in
	length) printf 'Content-Length: 8\r\n\r\na pr' >&$fd ;;
	chunks) printf 'Transfer-Encoding: chunked\r\n\r\n4\r\na pr\r\n' >&$fd ;;
	esac
	(
		trap '' PIPE
		[ "$4" != 0 ] || exit
		sleep "$4"
		case $3 in length) printf 'ompt' ;; chunks) printf '4\r\nompt\r\n0\r\n\r\n' ;; esac >&$fd
	) 2>/dev/null &
	timeout 12 cat <&$fd 2>/dev/null >"$RUN/body.$2"
	head -n 1 "$RUN/body.$2" | cut -d' ' -f2 | tr '\n' ' ' >"$RUN/status.$2"
	echo 0 >>"$RUN/status.$2"
	exec {fd}>&-
}
two_at_once() { # N ID: a stream, and the next request of its connection sent right behind it
	local fd i
	exec {fd}<>"/dev/tcp/$(node "$1" 0 | tr : /)" || return
	for i in 1 2; do
		printf 'POST /ask/%s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: 9000\r\nX-Api-Key: %s\r\nX-Token-Usage: 3000,100\r\nContent-Length: 8\r\n\r\na prompt' \
			"$([ $i = 1 ] && echo long/)x" "$2-$i" "$CALLER_KEY" >&$fd
	done
	timeout 12 cat <&$fd 2>/dev/null >"$RUN/body.$2"
	exec {fd}>&-
}
end_of() { # ID
	case "$(cat "$RUN/status.$1" 2>/dev/null) $(event_ids "$RUN/body.$1") $(tell "runs?id=$1")" in
	"200 0 1 2 3 4 5 6 7 8 9 10  "*) echo whole ;;
	"503 0 "*" 0") echo refused ;;
	"000 7 "*) echo ended ;; # nobody listens there any more
	*) echo "cut ($(cat "$RUN/status.$1" 2>/dev/null), events $(event_ids "$RUN/body.$1"), runs $(tell "runs?id=$1"))" ;;
	esac
}
ends() { local id; for id in "$@"; do end_of "$id"; done | sort | uniq -c | tr -s ' \n' ' '; }
at() { # MS: waits until so long after the stop
	while [ "$(now_ms)" -lt $((stop_ms + $1)) ]; do sleep 0.02; done
}
stop() { # N: it stops now, and times are counted from here
	stop_ms=$(now_ms)
	signal "gate$1" TERM
}
links_are_cut() { "$B/bayhoistctl" --node "$(node 1 3)" links | head -n 1 | grep -q ' cut'; }
have_ended() { local n; for n in "$@"; do ! kill -0 "$(pid_of gate$n)" 2>/dev/null || return 1; done; }
begin() { # gateways that have ended start again; all know each other and the first configuration
	local n
	callers=
	for n in 1 2 3; do kill -0 "$(pid_of gate$n)" 2>/dev/null || start_gate $n; done
	for n in 1 2 3; do wait_for 10 ready $n 200 || is "gateway $n gets ready" no yes; done
	sleep 1.2
}
run() { "$@" & callers="$callers $!"; }
is_not_cut() { # WHAT ID...: whole or refused truly
	is "$1: cut" "$(for id in "${@:2}"; do end_of "$id"; done | grep cut | tr '\n' ' ')" ""
	echo "$1:$(ends "${@:2}")"
}
is_whole() { is "$1" "$(ends "${@:2}")" " $(($# - 1)) whole "; }

start_site_behind_proxy
start_three_gates

# Bodies that take longer than a head may.
run slow_body 2 calm-length length 2
run slow_body 2 calm-chunks chunks 3
run slow_body 2 calm-half length 0
wait $callers
is_whole "bodies that take longer than a head may" calm-length calm-chunks
is "one whose rest does not come is told so" "$(cat "$RUN/status.calm-half") $(tell runs?id=calm-half)" "408 0 0"

# What is under way. Engines that begin late, while others are heard, are no silence that the stop leaves room for.
callers=
run stream 1 late-begin /ask/hold/x
run stream 1 late-resumed /ask/hold/break/x
wait $callers
callers=
run slow_body 1 before-chunks chunks 3.8
run stream 1 before-no-length /ask/no-length/long/x -0
run stream 1 before-broken /ask/long/break/x
run two_at_once 1 before-two
run stream 1 before-slow /ask/bulk/x --limit-rate 2500k
sleep 0.3
stop 1
at 300
run stream 1 early-broken /ask/long/break/x
run stream 1 early-no-length /ask/no-length/long/x
at 2500
run slow_body 1 chunks chunks 2
run slow_body 1 length length 2
run slow_body 1 late chunks 4.6
at 3500
run slow_body 1 endless chunks 0
run slow_body 1 half length 0
wait $callers
is_whole "streams from before that have no length, or go on at another engine" before-no-length before-broken
is_whole "the same from soon after the stop" early-no-length early-broken
is "one that is read slowly is whole" "$(cat "$RUN/status.before-slow") $(($(stat -c %s "$RUN/body.before-slow") > 10000000))" "200 0 1"
is_whole "streams that begin late" late-begin late-resumed
is "room for silences in what was taken soon after the stop, of which there were none, in ms" \
	"$(sed -n 's/.*what=taken request=early.* longest_ms=\([0-9]*\) needed_ms=\([0-9]*\).*/\1 \2/p' "$RUN/gate1.log" | awk '{ print $2 - $1 }' | sort | uniq -c | tr -s ' \n' ' ')" " 3 0 "
two="$(grep -ao '^HTTP/1.1 [0-9]*' "$RUN/body.before-two" | cut -d' ' -f2 | tr '\n' ' ')$(event_ids "$RUN/body.before-two")$(tell "runs?id=before-two-2")"
case $two in
"200 503 1 2 3 4 5 6 7 8 9 10 0" | "200 200 1 2 3 4 5 6 7 8 9 10 1 2 3 4 5 6 7 8 9 10 1") two=answered ;;
esac
is "a stream from before, and the request behind it" "$two" answered
is_not_cut "bodies that take their time" before-chunks chunks length late
is_not_cut "bodies that never end" endless half

# Settings that are read again with a shorter grace, a version with other times, another route and no such key, another gateway that is killed.
begin
run stream 1 reload-before
run stream 1 reload-resumed /ask/long/break/x
run stream 2 reload-elsewhere
sleep 0.3
stop 1
settings 1 | sed 's/"stop_grace_ms":8000/"stop_grace_ms":1000/' >"$RUN/gate1.json"
signal gate1 HUP
run stream 1 reload-after
at 400
config 2 key2 | sed 's/"timeout-ms":8000/"timeout-ms":1000/;s/"idle-timeout-ms":5000/"idle-timeout-ms":200/;s/"name":"ask"/"name":"other"/;s|/ask/|/other/|' >"$RUN/config"
tell config -d "@$RUN/config"
at 1000
signal gate3 KILL
at 1500
signal gate1 TERM
wait $callers
is_whole "streams under way while settings, version and other gateways change" reload-before reload-resumed reload-after reload-elsewhere
wait_for 9 have_ended 1
settings 1 >"$RUN/gate1.json"
config 3 key1 >"$RUN/config"
tell config -d "@$RUN/config"

# The store is away; the other gateways stop faster than the first one ends, and more is asked for than engines take at once.
begin
tell down
for i in $(seq 66); do run stream $((i % 3 + 1)) "away$i"; done
sleep 0.3
stop 2
at 700
for i in $(seq 67 75); do run stream 2 "away$i"; done
signal gate1 TERM
at 1400
signal gate3 TERM
for i in $(seq 76 84); do run stream $((i % 3 + 1)) "away$i"; done
at 3200
for i in $(seq 85 102); do run stream $((i % 3 + 1)) "away$i" /ask/x; done
wait $callers
is_not_cut "streams around stops of all while the store is away" $(seq -f away%.0f 102)
tell up
wait_for 9 have_ended 1 2 3

# A gateway that reaches its endpoints through others: they stop, and so does it.
begin
cut_endpoints reset 1
for i in 1 2 3 4; do ask 1 /ask/x "learn$i" >/dev/null; call 1 /free/x "look$i" >/dev/null; done
wait_for 5 links_are_cut || is "the gateway knows that its links are cut" no yes
for i in $(seq 8); do run stream 1 "through$i"; done
for i in $(seq 9 12); do run stream 1 "through$i" /ask/long/break/x; done
sleep 0.5
stop 2
at 300
for i in $(seq 13 18); do run stream 1 "through$i"; done
at 600
signal gate1 TERM
at 1200
for i in $(seq 19 24); do run stream 1 "through$i"; done
at 3500
for i in $(seq 25 30); do run stream 1 "through$i" /ask/x; done
wait $callers
is "requests went through others" "$(($(grep -c 'what=through' "$RUN/gate1.log") > 0))" 1
is_not_cut "streams through others that stop" $(seq -f through%.0f 30)
exit $FAILED
