#!/usr/bin/env bash
# A configuration with a part that a gateway can't take keeps no other part out of force, and one that can't be taken at all
# doesn't leave keys in use that a later one has taken away: whatever an operator writes, whoever starts meanwhile.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
KEY_TRUST_MS=2000
REVOKED_S=2.3 # by then no key is trusted that was not confirmed since
start_site
FAILED=0
LONG=consortium-of-private-schools-of-the-southern-province-shared-admissions-office-of-the-year
TWO_BYTES=$(printf 'ŵ%.0s' $(seq 40))
NINE=$(for i in $(seq 9); do printf '{"service":"web%s","weight":1},' "$i"; done)
NINE_SERVICES=$(for i in $(seq 9); do printf ',{"name":"web%s"}' "$i"; done)

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
odd() { # WHAT PARTS ODD_STATUSES [FIELD]: the next versions hold something odd; it is left out, or works
	local what=$1 parts=$2 statuses=$3 field=${4:-}
	version=$((version + 1))
	put "$(configuration $version '"key1","new'$version'"')"
	sleep 1.2
	is "$what: a key that came with it is served" "$(answers new$version)" 200200200
	[ -z "$statuses" ] || is "$what: what it leads to" "$(answers new$version /odd/x)" "$statuses"
	is "$what: parts left out" "$(metric 1 bayhoist_configuration_parts_refused) $(metric 3 bayhoist_configuration_parts_refused)" "$parts $parts"
	[ -z "$field" ] || is "$what: the command tells it" "$("$B/bayhoistctl" --node "$(node 2 3)" configuration | grep -c "^not in force: ${field#cause=\"}")" 1
	[ -z "$field" ] || is "$what: an operator is told what and why, once" "$(logged "what=part-refused version=$version .*$field")" "1 1 1 "
	version=$((version + 1))
	put "$(configuration $version '"new'$((version - 1))'"')"
	sleep $REVOKED_S
	is "$what: a key that a later version takes away is not served" "$(answers key1)" 401401401
	is "$what: one that it keeps is" "$(answers new$((version - 1)))" 200200200
	version=$((version + 1))
	ACCOUNTS= ROUTES= SERVICES=
	put "$(configuration $version '"key1"')"
	sleep 1.2
	is "$what: without it, all is in force" "$(answers key1)$(states)" "200200200whole whole whole "
}

start_three_gates "$(configuration 1 '"key1"')"

ACCOUNTS=,$(account "\"$LONG\"" '"k9"') odd "an account with a name of ${#LONG} characters" 0 ""
ACCOUNTS=,$(account "\"$TWO_BYTES\"" '"k9"') odd "an account with a name of 40 characters of two bytes" 0 ""
version=$((version + 1))
ACCOUNTS=,$(account "\"$LONG\"" '"k9"')
put "$(configuration $version '"key1"')"
sleep 1.2
is "its requests are served" "$(answers k9)" 200200200
is "and name it whole to the endpoint" "$(tell headers | tr -d '\r' | sed -n 's/^X-Tenant: //p')" "$LONG"
ROUTES=,$(route "\"$LONG\"" '"service":"web"') odd "a route with a name of ${#LONG} characters" 0 200200200
SERVICES=",{\"name\":\"$LONG\"}" ROUTES=,$(route '"odd"' '"service":"'"$LONG"'"') \
	odd "a service with a name of ${#LONG} characters, without endpoints" 0 503503503
SERVICES=$NINE_SERVICES ROUTES=,$(route '"odd"' '"traffic-split":['"${NINE%,}"']') odd "a route to nine services without endpoints" 0 503503503
ACCOUNTS=,$(account 7 '"k9"') odd "an account whose name is a number" 1 "" 'cause="tenant 2: field .*name'
ROUTES=,$(route 7 '"service":"web"') odd "a route whose name is a number" 1 503503503 'cause="route 2: field .*name'
ROUTES=,$(route '"odd"' '"service":"gone"') odd "a route to a service that isn't there" 1 503503503 'cause="route .*odd.*: there is no service .*gone'
ROUTES=,$(route '"odd"' '"service":"web"' '"sideways"') odd "a route of an unknown kind" 1 503503503 'cause="route .*odd.*route-kind'

# text that can't be taken at all
put '{"version": 900, "routes": ['
wait_for 2 all_are outdated # in the time in which one is to be in force
is "a text that is no JSON: operators see that it is not in force" "$(states)" "outdated outdated outdated "
is "a text that is no JSON: the command tells why" "$("$B/bayhoistctl" --node "$(node 1 3)" configuration | grep -c "newer one can't be decoded .*malformed JSON")" 1
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

# all start under a configuration that has a part which can't be taken
version=$((version + 1))
ACCOUNTS=,$(account 7 '"k9"')
put "$(configuration $version '"key6"')"
sleep 0.5
kill_all_gates
is "all start under one with a part that can't be taken: the keys of the others are served" "$(answers key6)$(answers key5)" 200200200401401401
is "and operators see that it is in force in part" "$(states)" "partial partial partial "
exit $FAILED
