#!/usr/bin/env bash
# Callers of a gateway on a VM with little memory that do not read answers of megabytes: what the gateway keeps for them is within its
# share, answers of others are not late, and the connections of those that never read are cut.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
free_at_once
CALLERS=16
READ_BYTES=16384 # that one read from an endpoint may add to a full buffer
settings 1 | sed 's/"stop_grace_ms"/"memory_mb":4,"stop_grace_ms"/' >"$RUN/gate1.json"
start_gate 1
config 1 key1 >"$RUN/config"
tell config -d "@$RUN/config"
wait_for 10 ready 1 200 || is "the gateway gets ready" no yes
metric() { curl -s -m 3 "http://$(node 1 3)/metrics" | awk -v name="bayhoist_$1" '$1 == name { print $2 }'; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/$(pid_of gate1)/status"; }
begin_kb=$(resident_kb)
for i in $(seq $CALLERS); do
	exec {fd}<>"/dev/tcp/$(node 1 0 | tr : /)"
	fds[i]=$fd
	printf 'GET /free/flood/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: s%s\r\nX-Time-Budget-Ms: 60000\r\nX-Api-Key: key1\r\n\r\n' "$i" >&"$fd"
done
kept() { [ "$(metric answer_bytes)" -gt 0 ]; }
wait_for 5 kept || is "answers wait for their callers" no yes
most=0
late=0
for i in $(seq 10); do
	bytes=$(metric answer_bytes)
	[ "$bytes" -gt "$most" ] && most=$bytes
	[ "$(call 1 /free/x "other$i" -m 1)" = 200 ] || late=$((late + 1))
	sleep 0.1
done
echo "kept at most $most bytes; $(($(resident_kb) - begin_kb)) kB more than before"
is "what is kept for them is within the share" "$((most <= 4 * 1024 * 1024 / 5 + CALLERS * READ_BYTES))" 1
is "and does not grow the process by more" "$(($(resident_kb) - begin_kb < 8192))" 1
is "nobody else's answer is late" "$late" 0
freed() { [ "$(metric answer_bytes)" = 0 ]; }
wait_for 20 freed || is "what was kept is freed" no yes
is "the gateway lives" "$(call 1 /free/x last)" 200
exit $FAILED
