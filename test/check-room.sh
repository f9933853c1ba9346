#!/usr/bin/env bash
# A gateway on a VM with little memory keeps no more requests than fit in its share: those beyond it are refused at once,
# truthfully, and told when to come back; the room is there again when the others have been answered.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
settings 1 | sed 's/"stop_grace_ms"/"memory_mb":4,"stop_grace_ms"/' >"$RUN/gate1.json"
start_gate 1
config 1 key1 | sed 's/"header-timeout-ms":1000/"header-timeout-ms":5000/' >"$RUN/config" # bodies come in halves, which take long on a busy machine
tell config -d "@$RUN/config"
wait_for 10 ready 1 200 || is "the gateway gets ready" no yes
metric() { curl -s -m 3 "http://$(node 1 3)/metrics" | awk -v name="bayhoist_$1" '$1 == name { print $2 }'; }
head -c 90000 /dev/zero | tr '\0' x >"$RUN/large"
pids=()
for i in $(seq 12); do
	curl -s -m 12 -o "$RUN/answer$i" -D "$RUN/head$i" -w '%{http_code}\n' "http://$(node 1 0)/free/hold/x" -H 'Host: a.example' -H "X-Attempt-Id: r$i" \
		-H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: key1" -H 'Expect:' --data-binary "@$RUN/large" >"$RUN/status$i" &
	pids+=($!)
done
sleep 0.7
is "what is kept is within the share" "$(($(metric request_bytes) <= 4 * 1024 * 1024 * 15 / 100))" 1
wait "${pids[@]}"
served=$(cat "$RUN"/status* | grep -c 200)
refused=$(cat "$RUN"/status* | grep -c 503)
is "as many as fit are served" "$served" 6
is "the others are refused" "$refused" 6
is "which have not run" "$(for i in $(seq 12); do grep -q 503 "$RUN/status$i" && tell "runs?id=r$i"; done | sort -u)" 0
is "and are told when to come back" "$(grep -il '^retry-after: 1' "$RUN"/head* | wc -l)" "$refused"
is "the room is there again" "$(metric request_bytes)" 0
is "and used" "$(call 1 /free/x again --data-binary "@$RUN/large")" 200

# Room is taken by a body's length at its head: bodies that are read by halves take none from those that fit.
half() { # N: the head and half of the body of a request, on a connection that is kept
	exec {fd}<>"/dev/tcp/$(node 1 0 | tr : /)"
	fds[$1]=$fd
	printf 'POST /free/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: h%s\r\nX-Time-Budget-Ms: 9000\r\nX-Api-Key: key1\r\nContent-Length: 90000\r\n\r\n' "$1" >&$fd
	head -c 45000 "$RUN/large" >&$fd
}
status() { # N [SECONDS]: the status that came on its connection, if one did
	local line=
	read -r -t "${2:-0.02}" line <&"${fds[$1]}"
	echo "$line" | cut -d' ' -f2
}
for i in $(seq 12); do half $i; done
sleep 0.2 # well within the time that a request may take to come
refused=0
for i in $(seq 12); do
	answer[$i]=$(status $i)
	[ "${answer[$i]}" = 503 ] && refused=$((refused + 1))
done
is "those that do not fit are refused at their heads" "$refused" 6
for i in $(seq 12); do
	[ -n "${answer[$i]}" ] || head -c 45000 "$RUN/large" >&"${fds[$i]}"
done
is "and all others are served" "$(for i in $(seq 12); do [ -n "${answer[$i]}" ] || status $i 5; done | sort | uniq -c | tr -s ' ')" " 6 200"
exit $FAILED
