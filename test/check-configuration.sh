#!/usr/bin/env bash
# A configuration that can't be decoded doesn't leave keys of before in use, which it may have taken away; nor where a
# gateway starts meanwhile.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
KEY_TRUST_MS=2000
REVOKED_S=2.3 # by then no key is trusted that was not confirmed since
start_site
FAILED=0
ACCOUNTS= ROUTES= SERVICES=
account() { printf '{"name":%s,"api-keys":[%s]}' "$1" "$2"; }                                                              # NAME KEYS
route() { printf '{"name":%s,"host":"a.example","path-prefix":"/odd/","route-kind":%s,%s}' "$1" "${3:-\"idempotent\"}" "$2"; } # NAME TARGET [KIND]
configuration() { # VERSION KEYS: an account with these keys, and what ACCOUNTS, ROUTES and SERVICES hold besides
	cat <<JSON
{"version":$1,"routes":[
{"name":"free","host":"a.example","path-prefix":"/free/","route-kind":"idempotent","timeout-ms":3000,"target-latency-ms":300,"service":"web","max-attempts":2}$ROUTES],
"services":[{"name":"llm"},{"name":"web"}$SERVICES],
"limits":{"max-header-bytes":4096,"max-body-bytes":100000,"header-timeout-ms":1000,"idle-timeout-ms":5000},
"tenants":[$(account '"acct"' "$2")$ACCOUNTS]}
JSON
}
put() { printf %s "$1" >"$RUN/config"; tell config --data-binary "@$RUN/config"; } # TEXT
tries=0
answers() { # KEY [PATH]: the statuses of a request at each gateway
	local n
	for n in 1 2 3; do
		tries=$((tries + 1))
		CALLER_KEY=$1 call $n "${2:-/free/x}" "t$tries"
	done
}
metric() { curl -s -m 2 "http://$(node "$1" 3)/metrics" | awk -v name="$2" '$1 == name { print $2 }'; } # N NAME
states() { # the state of the configuration at each gateway
	local n
	for n in 1 2 3; do curl -s -m 2 "http://$(node $n 3)/metrics" | sed -n 's/^bayhoist_configuration_state{state="\([a-z]*\)"} 1$/\1/p'; done | tr '\n' ' '
}
all_are() { [ "$(states)" = "$1 $1 $1 " ]; }
logged() { grep -hc "event=configuration .*$1" "$RUN"/gate?.log | tr '\n' ' '; } # PATTERN: lines of each gateway
version=1
for n in 1 2 3; do settings $n >"$RUN/gate$n.json"; start_gate $n; done
put "$(configuration 1 '"key1"')"
for n in 1 2 3; do wait_for 10 ready $n 200 || is "gateway $n gets ready" no yes; done
sleep 1.5

# text that can't be taken at all
version=1
put '{"version": 900, "routes": ['
wait_for 2 all_are outdated # in the time in which one is to be in force
is "a text that is no JSON: operators see that it is not in force" "$(states)" "outdated outdated outdated "
sleep $REVOKED_S
is "a text that is no JSON: no key is trusted any more, which is told as not run" "$(answers key1)" 503503503
is "a text that is no JSON: no gateway says that it is ready" "$(for n in 1 2 3; do ready $n 503 && echo yes; done | wc -l)" 3
is "a text that is no JSON: it is logged once, not at each look" "$(grep -hc 'event=configuration what=refused' "$RUN"/gate?.log | awk '$1 > 2' | wc -l)" 0
signal gate2 KILL
sleep 0.3
start_gate 2
sleep 3
is "a gateway that starts then trusts no key of an older version either" "$(answers key1)" 503503503
is "nor says that it is ready" "$(ready 2 503 && echo yes)" yes
version=$((version + 1))
put "$(configuration $version '"key5"')"
sleep 1.5
is "the next version that can be taken is in force" "$(answers key5)$(answers key1)$(states)" "200200200401401401whole whole whole "

exit $FAILED
