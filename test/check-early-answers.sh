#!/usr/bin/env bash
# An endpoint answers while the request is still being sent, in good order or with a reset. Guards against a part of an answer
# that is handed on as whole: the connection's reads and writes fail apart, and the end of an answer without a length is only
# known by it. Answers that are whole are served.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
ROUNDS=16 # of each kind, since what is seen first of the reset is a race
head -c 3000000 /dev/zero | tr '\0' 'u' >"$RUN/upload" # more than the kernel takes
head -c 1000000 /dev/zero | tr '\0' 'u' >"$RUN/upload1m" # which the kernel takes at once, and the endpoint does not
# Endpoints behind the stand-in that answers early, which can also cut gateways off from them.
early=
site=
for n in $(seq 1 10); do
	site="$site --engine i-e$n=$(address $((100 + n))),$(address $((160 + n)))"
	early="$early --link $(address $((160 + n))),$(address $((100 + n)))"
done
for n in $(seq 1 8); do
	site="$site --plain i-p$n=$(address $((120 + n))),$(address $((180 + n)))"
	early="$early --link $(address $((180 + n))),$(address $((120 + n)))"
done
EARLY=$(address 71)
start early "$B/bh-early-endpoints" --control "$EARLY" $early
start site "$B/bh-fake-site" --store "$STORE" $site
wait_for 30 tell calls
eval "$(declare -f settings | sed '1s/settings/same_settings/')"
settings() { # N: each gateway connects to endpoints from an address of its own
	same_settings "$1" | sed "s/\"seeds\"/\"endpoint_source\":\"127.0.0.$((10 + $1))\",\"seeds\"/"
}
MORE_SETTINGS='"repeat_extra":1000,' # which all these retries fit in
MAX_BODY=4000000
ASK_ATTEMPTS=3
start_three_gates
early_runs() { curl -s -m 3 "http://$EARLY/runs?id=$1"; }
send() { # N PATH ID FILE [CURL OPTIONS...]: prints the status and curl's exit status, and keeps the body
	curl -s -m 12 -o "$RUN/body.$3" -w '%{http_code} %{exitcode}' "http://$(node "$1" 0)$2" -H 'Host: a.example' -H "X-Attempt-Id: $3" \
		-H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: $CALLER_KEY" -H 'Expect:' --data-binary "@$RUN/$4" "${@:5}"
}
PROMPT="X-Token-Usage: 3000,100"
ALL="1 2 3 4 5 6 7 8 9 10 "
heard() { [ "$(early_runs "$1")" = 1 ] && echo early || echo "not early"; }
one() { # N KIND FILE ID: one request; prints its status, curl's exit status, lines or events, and whether it was answered early
	case $2 in
	resumed-*) echo "$(send "$1" "/ask/break/early=$2/$4" "$4" "$3" -H "$PROMPT") $(event_ids "$RUN/body.$4")$(foreign_lines "$RUN/body.$4") $(heard "$4")" ;;
	stream-*) echo "$(send "$1" "/ask/early=$2/$4" "$4" "$3" -H "$PROMPT") $(event_ids "$RUN/body.$4")$(foreign_lines "$RUN/body.$4") $(heard "$4")" ;;
	*) echo "$(send "$1" "/free/early=$2/$4" "$4" "$3") $(wc -l <"$RUN/body.$4") $(heard "$4")" ;;
	esac
}
one_once() { # N KIND FILE ID: the same of what may run only once, and how often it ran elsewhere
	echo "$(send "$1" "/once/early=$2/$4" "$4" "$3") $(heard "$4") $(tell "runs?id=$4")"
}
times() { # COUNT COMMAND LABEL GATEWAYS KIND FILE: at each of some gateways in turn, four at a time, of which COUNT is a multiple
	local i gates=($4) callers=()
	rm -f "$RUN"/row.*
	for i in $(seq "$1"); do
		"$2" "${gates[$((i % ${#gates[@]}))]}" "$5" "$6" "$2-$3-$5-$6-$i" >"$RUN/row.$i" &
		callers+=($!)
		[ $((i % 4)) != 0 ] || { wait "${callers[@]}"; callers=(); }
	done
	cat "$RUN"/row.* | sort | uniq -c | tr -s ' ' | sed 's/^ //' | tr '\n' ';' # how often each line came
}
rounds() { times $ROUNDS one "$@"; }
once() { times 4 one_once "$@"; }
is "a long upload is served" "$(send 1 /free/x sound upload) $(wc -l <"$RUN/body.sound")" "200 0 3"
broken() { # LABEL GATEWAYS: what is no whole answer
	for kind in reset reset-late end-reset; do
		for file in upload upload1m; do
			is "$1, $file, $kind: an answer without a length comes whole from another endpoint" "$(rounds "$1" "$2" $kind $file)" "$ROUNDS 200 0 3 early;"
			is "$1, $file, $kind: what may run only once fails" "$(once "$1" "$2" $kind $file)" "4 502 0 early 0;"
			is "$1, $file, $kind: a stream comes whole" "$(rounds "$1" "$2" stream-$kind $file)" "$ROUNDS 200 0 ${ALL}0 early;"
			is "$1, $file, $kind: so does one that is gone on with so" "$(times 4 one "$1" "$2" resumed-$kind $file)" "4 200 0 ${ALL}0 early;"
		done
	done
}
served() { # LABEL GATEWAYS: what is one
	is "$1: an early answer that names its length is served" "$(rounds "$1" "$2" length upload)" "$ROUNDS 200 0 1 early;"
	is "$1: so is one whose endpoint reads no further and closes" "$(rounds "$1" "$2" length-close upload)" "$ROUNDS 200 0 1 early;"
	is "$1: also a large one" "$(rounds "$1" "$2" large-close upload) $(stat -c %s "$RUN/body.one-$1-large-close-upload-1")" "$ROUNDS 200 0 0 early; 40000"
	is "$1: a rejection is handed on" "$(rounds "$1" "$2" 413 upload)" "$ROUNDS 413 0 1 early;"
	is "$1: so is one whose endpoint reads on" "$(rounds "$1" "$2" 413-read upload)" "$ROUNDS 413 0 1 early;"
}
broken direct "1 2 3"
served direct "1 2 3"
is "direct: an answer without a length is served where its endpoint reads the request to its end" "$(rounds direct "1 2 3" end-read upload)" "$ROUNDS 200 0 1 early;"
is "direct: a lookup whose endpoint ends its answer and reads no further is served by another one" "$(times 4 one direct "1 2 3" end-stop upload)" "4 200 0 3 early;"
is "direct: what may run only once fails within its time" "$(times 4 one_once direct "1 2 3" end-stop upload | sed 's/50[24]/failed/')" "4 failed 0 early 0;"
for n in 1 2; do curl -s -m 3 "http://$EARLY/reset?from=127.0.0.$((10 + n))" >/dev/null; done
for i in 1 2 3 4; do for n in 1 2; do call $n /free/x "look$n$i" >/dev/null; ask $n /ask/x "learn$n$i" >/dev/null; done; done
sleep 0.5
relayed() { cat "$RUN"/gate[12].log | grep -c 'event=relay what=through'; }
before=$(relayed)
broken relay "1 2"
served relay "1 2"
is "relay: an answer without a length is served where its endpoint reads the request to its end" "$(rounds relay "1 2" end-read upload)" "$ROUNDS 200 0 1 early;"
none_relayed() { ! for n in 1 2 3; do curl -s -m 3 "http://$(node $n 3)/metrics"; done | grep '^bayhoist_relays ' | grep -qv ' 0$'; }
wait_for 3 none_relayed || is "no relay is left" "some" "none"
is "requests went through a peer: $(($(relayed) - before))" "$(($(relayed) - before > 200))" 1
exit $FAILED
