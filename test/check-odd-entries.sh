#!/usr/bin/env bash
# Entries that another writer left among those of the endpoints: they name no endpoint to use, and the others hold, at all
# nodes alike. No process ends, all is read on, and the log holds lines of the gateways only.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
entry() { tell "entry?key=$1" --data-binary @-; } # KEY: what another writer writes, from standard input
knows() { curl -s -m 2 "http://$(node "$1" 3)/endpoints" | grep -o '"id": *"[^"]*"' | cut -d'"' -f4 | sort | tr '\n' ' '; } # N
served() { # WHAT: lookups of the last lookups() are all served
	is "$1" "$(for n in $(seq $first $requests); do cat "$RUN/status.l$n"; echo; done | sort | uniq -c | tr -s ' ')" " $((requests - first + 1)) 200"
}
look() { first=$((requests + 1)); lookups "$1"; } # SECONDS
lines() { cat "$RUN"/gate?.log | grep -c "$1"; } # PATTERN

# Over the entry of an endpoint that lives: who hears of the change and who reads the list see the same.
ALL="i-e1 i-e2 i-e3 i-p1 i-p2 "
is "all are known" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
printf 'no entry' | entry servers/i-p1
sleep 1.5
before=$(tell 'arrivals?id=i-p1')
look 2
served "lookups are served while an odd entry stands over that of an endpoint"
is "who hears of it uses that endpoint no more" "$(tell 'arrivals?id=i-p1')" "$before"
signal gate3 KILL
sleep 0.3
start_gate 3
is "a gateway that starts beside it gets ready" "$(wait_for 5 ready 3 200 && echo yes)" yes
sleep 1
REST="i-e1 i-e2 i-e3 i-p2 "
is "all gateways know the same" "$(knows 1)$(knows 2)$(knows 3)" "$REST$REST$REST"
before=$(tell 'arrivals?id=i-p1')
look 2
is "nor does who reads the list" "$(tell 'arrivals?id=i-p1')" "$before"
tell 'back?id=i-p1'
sleep 1.5
is "its own entry is taken by all" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"

# All kinds at once, beside sound ones; then ten thousand, and one that is written again all the time.
FORGED='time_us=1 process=gate1 event=start'
nested() { head -c "$1" /dev/zero | tr '\0' '['; } # DEPTH
with() { printf '{"service":"web","address":"%s","zone":"h1","slots":%s,"state":"%s","born":%s}' "$@"; } # ADDRESS SLOTS STATE BORN
with "$(address 4)" 16 ready 1 | entry "servers/o-key%0A${FORGED// /%20}%0A" # it is to name no endpoint either
with "$(address 4)" 16 ready 1 | entry servers/
sleep 1 # these are read before the lines of a minute are used up
for depth in 31 33 1000 100000; do
	nested $depth | entry servers/o-nested$depth
	{ printf '{"service":"web","state":"ready","slots":'; nested $depth; } | entry servers/o-slots$depth
done
odd=0
for number in -1 1.5 1e999 99999999999999999999 18446744073709551616 NaN '"16"' null '[]'; do
	odd=$((odd + 1))
	with "$(address 4)" "$number" ready 1 | entry servers/o-slots-$odd
	with "$(address 4)" 16 ready "$number" | entry servers/o-born-$odd
done
for odd_address in nowhere.example:80 'a b:80' 127.0.0.1:80abc '[::1]:80' 127.0.0.1:0 127.0.0.1:70000 127.0.0.1:-1 \
	127.0.0.1:99999999999999999999 "127.0.0.1:$((BASE + 4))\\u0000"; do
	odd=$((odd + 1))
	with "$odd_address" 16 ready 1 | entry servers/o-address-$odd
done
with "$(address 4)" 16 "odd\\n$FORGED\\n" 1 | entry servers/o-state
printf '\xff\xfe\0' | entry servers/o-bytes
head -c 1000000 /dev/zero | entry servers/o-zeros
printf '' | entry servers/o-empty
for text in null '[]' 17 '"ready"' '{}'; do odd=$((odd + 1)); printf '%s' "$text" | entry servers/o-$odd; done
sleep 1.5
is "odd entries name no endpoint" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
look 2
served "lookups are served beside odd entries of all kinds"
is "one with line breaks in its key has a line" "$(($(lines 'key=servers/o-key\\x0atime_us=1 process') > 0))" 1
is "an entry without an id has a line" "$(($(lines 'what=entry-refused key=servers/ cause="names no endpoint"') > 0))" 1

# Lists and watches themselves: pages that end with odd keys, items that are none, places and marks of any size and type.
for key in 'i-e1%20x' 'i-e1%20x%26after%3Dz' 'i-e1%25zz' 'i-e2%23' 'i-p1%0A%0A' 'i-p1%C3%BC'; do printf x | entry "servers/$key"; done
tell 'page?id=1'
kill_all_gates
sleep 1
is "lists are read on behind pages that end with odd keys" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
tell 'page?id=0'
calls=$(tell calls)
for item in 7 '[]' '"x"' '{}' '{"private-key":7}' '{"private-key":["servers/i-p1"]}' '{"private-key":"servers/i-p1\u0000x","gone":true}' \
	'{"private-key":"servers/o-r","value":7,"revision":1e999}' '{"private-key":"servers/o-r","gone":true,"revision":99999999999999999999}'; do
	tell odd-item -d "$item"
	sleep 0.6
done
tell odd-item -d null
is "all gateways know the same after odd items" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
for answer in '{"at":"x"}' '{"at":1e999}' '{"at":99999999999999999999}' '{"at":-1}' '{"at":900000000000000}' '{"at":null}' '{"at":[]}' \
	'{"items":{},"events":{}}' '{"items":7,"events":"x"}' '{"more":"yes"}' '{"items":[],"more":true}' '{"items":[{"private-key":7}],"more":true}' \
	'{"items":[{"private-key":"servers/a"}],"more":true}'; do
	tell odd-answer -d "$answer"
	signal gate3 KILL # it starts before such an answer
	sleep 0.1
	start_gate 3
	sleep 1
	kill -0 "$(pid_of gate3)" || is "a gateway that starts before $answer lives" no yes
done
look 1
tell odd-answer -d null
is "odd answers are not asked for again without a pause" "$(($(tell calls) - calls < 600))" 1
is "a gateway that started meanwhile gets ready" "$(wait_for 5 ready 3 200 && echo yes)" yes
sleep 1.5
is "all gateways know the same after odd answers" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
tell 'gone?id=i-p2'
sleep 1
is "changes are followed after odd answers" "$(knows 1)$(knows 2)$(knows 3)" "${ALL% i-p2 } ${ALL% i-p2 } ${ALL% i-p2 } "
tell 'back?id=i-p2'
sleep 1
is "all of them" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
printf %s "$(config 2 key2)" >"$RUN/config"
tell config -d "@$RUN/config"
sleep 1.5
is "and a configuration" "$(for n in 1 2 3; do CALLER_KEY=key2 call $n /free/x "c$n"; echo; done | tr '\n' ' ')" "200 200 200 "
CALLER_KEY=key2

tell 'odd-entries?id=10000'
sleep 0.5
tell 'gone?id=i-p2'
sleep 1
is "that an endpoint goes is followed within a second beside 10,000 odd entries" "$(knows 1)$(knows 2)$(knows 3)" \
	"i-e1 i-e2 i-e3 i-p1 i-e1 i-e2 i-e3 i-p1 i-e1 i-e2 i-e3 i-p1 "
tell 'back?id=i-p2'
sleep 1
is "and that it returns" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
signal gate2 KILL
sleep 0.3
start_gate 2
is "a gateway that starts beside them gets ready" "$(wait_for 5 ready 2 200 && echo yes)" yes
for i in 1 2 3 4 5; do with "$(address 4)" 16 "odd$i" "$i" | entry servers/o-again; sleep 0.4; done
look 1
served "lookups are served then too"
is "all gateways know the same" "$(knows 1)$(knows 2)$(knows 3)" "$ALL$ALL$ALL"
is "an entry that is written again has a line a gateway" "$(($(lines 'key=servers/o-again ') <= 4))" 1
is "few of the refused have a line of their own: at most 32 a minute in each process" \
	"$(cat "$RUN"/gate?.log | awk '/what=entry-refused/ { minute = int(substr($1, 9) / 60000000); if (++n[$4 minute] > 64) many = 1 } END { print many + 0 }')" 0
is "the others are counted" "$(($(lines what=entries-refused) > 0))" 1
is "no line was left out" "$(lines what=left-out)" 0
is "each line of the logs is a gateway's own" "$(cat "$RUN"/gate?.log | LC_ALL=C grep -cvE '^time_us=[0-9]{10,} process=gate[123] hall=h1 boot=[0-9a-f]+ seq=[0-9]+ level=(info|error) event=')" 0
is "no gateway has ended" "$(for n in 1 2 3; do kill -0 "$(pid_of gate$n)" && echo $n; done | tr '\n' ' ')" "1 2 3 "
exit $FAILED
