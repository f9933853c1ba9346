#!/usr/bin/env bash
# A plain service behind bayhoistd closes in the middle of its answer's head. Guards against such a head as a whole answer.
set -u
. test/cluster.sh
begin_run
FAILED=0
HEAD_BYTES=70    # of the head that the stand-in cuts; behind all of them its body is absent
INTERIM_BYTES=37 # of an interim head before it
A="http://$(caller_address 1)/v1/services/notices/x"
K="Authorization: Bearer ${CALLER_KEY_PREFIX}1"
is() { # WHAT HAVE WANTED
	if [ "$2" = "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: have \"$2\", wanted \"$3\""; FAILED=1; fi
}
start_platform
start_engine 1 --kv-bytes 400000
start_service 1
start_service 2
start_node 1
wait_for 20 ctl 1 status || exit 1
write_resources 1 2 1 400000 | sed 's/"default_deadline_ms":60000/&,"retry_share":1/' >"$RUN/resources.json" # each call pays for its retry
ctl 1 apply "$RUN/resources.json" >/dev/null || exit 1
ready() { [ "$(ctl 1 status --json | grep -c '"ready":true')" = 3 ]; }
wait_for 30 ready || exit 1
runs() { cat "$RUN"/service[12].log | grep -c "event=service-run .*$1"; }
send() { # ID REPEATABLE: prints the status
	curl -s -m 10 -o "$RUN/body" -w '%{http_code}' -H "$K" -H "X-Bayhoist-Repeatable: $2" -d body "$A$1"
}
arm() { # FAULT BYTES SERVICE...
	local n
	for n in "${@:3}"; do fault "$(service_address "$n")" "{\"$1\":$2}"; done
}
cut() { # FAULT BYTES
	local id=$1-$2 status
	arm "$1" "$2" 1 2
	status=$(send "/$id/once" no)
	is "$id bytes: what may run only once fails" "$((status >= 500)) $(grep -c '"error"' "$RUN/body")" "1 1"
	is "$id bytes: and runs once" "$(runs "/$id/once")" 1
	arm "$1" 0 1 2
	arm "$1" "$2" 1
	status=$(send "/$id/free" yes)
	arm "$1" 0 1
	is "$id bytes: what may be repeated comes whole" "$status $(grep -c '"echo":"body"' "$RUN/body")" "200 1"
}
for bytes in $(seq 1 4 $HEAD_BYTES) $HEAD_BYTES; do cut cut_head "$bytes"; done
for bytes in $(seq 1 6 $((INTERIM_BYTES - 1))) $(seq $INTERIM_BYTES 5 $((INTERIM_BYTES + HEAD_BYTES))); do cut cut_interim "$bytes"; done
exit $FAILED
