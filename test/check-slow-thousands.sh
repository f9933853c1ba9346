#!/usr/bin/env bash
# Two thousand callers of a gateway on a VM of 160 MB, half of which never read answers of megabytes while the others read at a crawl,
# then hundreds that send request after request without reading an answer, then engines whose events do not end: what the gateway keeps
# stays within its shares and the process within the VM's memory, nobody else's answer is late, and all connections are freed.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
CALLERS=2000 # what a VM of 4,100 descriptors takes, with a connection to an endpoint for each
MEMORY_MB=160
MEASURED=1
case "${B##*/}" in *san)
	# AddressSanitizer takes memory of its own, so that the process's is not judged, and several times the processor time for each caller.
	MEASURED=0
	CALLERS=400
	free_at_once
	;;
esac
settings 1 | sed "s/\"stop_grace_ms\"/\"memory_mb\":$MEMORY_MB,\"stop_grace_ms\"/" >"$RUN/gate1.json"
start_gate 1
config 1 key1 | sed '/"free"/s/"timeout-ms":3000/"timeout-ms":20000/' >"$RUN/config"
tell config -d "@$RUN/config"
wait_for 10 ready 1 200 || is "the gateway gets ready" no yes
metric() { awk -v name="bayhoist_$1" '$1 == name { print $2 }' "$RUN/metrics"; }
resident_kb() { awk -v what="$1" '$1 == what ":" { print $2 }' "/proc/$(pid_of gate1)/status"; }
endpoint_connections() { # open ones, at both ends of loopback
	awk -v a="$(printf %04X $((BASE + 4)))" -v b="$(printf %04X $((BASE + 5)))" \
		'{ split($2, at, ":") } $4 == "01" && (at[2] == a || at[2] == b) { n++ } END { print n + 0 }' /proc/net/tcp
}
answers=0
watch() { # SECONDS: calls of others, one after the other, and what the gateway keeps meanwhile
	local until=$(($(date +%s%N) + $1 * 1000000000)) bytes
	late=0
	first=$answers
	most_answer=0
	most_request=0
	most_ahead=0
	while [ "$(date +%s%N)" -lt $until ]; do
		answers=$((answers + 1))
		answer=$(call 1 /free/x "other$answers" -m 1 -w '%{http_code} %{time_total}')
		[ "${answer% *}" = 200 ] || { late=$((late + 1)); echo "other$answers: $answer s"; }
		curl -s -m 3 "http://$(node 1 3)/metrics" >"$RUN/metrics" || { late=$((late + 1)); echo "no metrics within 3 s"; }
		bytes=$(metric answer_bytes)
		[ "${bytes:-0}" -gt $most_answer ] && most_answer=$bytes
		bytes=$(metric request_bytes)
		[ "${bytes:-0}" -gt $most_request ] && most_request=$bytes
		bytes=$(metric read_ahead_bytes)
		[ "${bytes:-0}" -gt $most_ahead ] && most_ahead=$bytes
		sleep 0.05
	done
}
judge() { # WHAT
	echo "$1: kept at most $most_answer bytes of answers, $most_request of requests, $most_ahead read ahead; $(resident_kb VmHWM) kB resident at most; $((answers - first)) answers to others"
	is "$1: answers kept are within a fifth of the memory" "$((most_answer <= MEMORY_MB * 1024 * 1024 / 5))" 1
	is "$1: requests kept are within their share" "$((most_request + most_ahead <= MEMORY_MB * 1024 * 1024 * 15 / 100))" 1
	[ $MEASURED = 0 ] || is "$1: the process is within the memory" "$(($(resident_kb VmHWM) < MEMORY_MB * 1024))" 1
	is "$1: nobody else's answer is late" "$late of $((answers - first))" "0 of $((answers - first))"
}
gone() {
	curl -s -m 3 "http://$(node 1 3)/metrics" >"$RUN/metrics"
	[ "$(metric answer_bytes)" = 0 ] && [ "$(metric request_bytes)" = 0 ] && [ "$(metric calls)" = 0 ] && [ "$(endpoint_connections)" = 0 ]
}
start slow "$B/bh-slow-callers" "$(node 1 0)" $CALLERS /free/flood/x key1 2000
watch 12
judge "unread answers"
wait_for 15 gone || is "all is freed" "$(metric answer_bytes) bytes, $(metric calls) calls, $(endpoint_connections) connections" none
is "their connections are closed" "$(metric connections)" 0
signal slow TERM
wait_for 5 test -s "$RUN/slow.log"
is "all of them had answers" "$(cut -d' ' -f2- "$RUN/slow.log")" "200=$CALLERS"

start ahead "$B/bh-slow-callers" "$(node 1 0)" $((CALLERS / 4)) /free/hold/x key1 0 60000
watch 5
judge "requests sent ahead"
is "requests are sent ahead, and read ahead by 4 KiB a caller and a read at most" "$((most_ahead > 0 && most_ahead <= CALLERS / 4 * 8192))" 1
signal ahead TERM
wait_for 15 gone || is "all is freed" "$(metric answer_bytes) bytes, $(metric calls) calls, $(endpoint_connections) connections" none
# Events that do not end: an engine's answer is one of megabytes.
start endless "$B/bh-slow-callers" "$(node 1 0)" 40 /ask/flood/x key1 2000
watch 4
judge "endless events"
is "they are ended" "$(($(grep -c 'what=event-too-large' "$RUN/gate1.log") > 0))" 1
is "and no engine is held to have failed for it" "$(grep -c 'event=engine what=failed' "$RUN/gate1.log")" 0
signal endless TERM
wait_for 15 gone || is "all is freed" "$(metric answer_bytes) bytes, $(metric calls) calls, $(endpoint_connections) connections" none
is "the gateway lives" "$(call 1 /free/x last)" 200
exit $FAILED
