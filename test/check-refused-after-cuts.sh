#!/usr/bin/env bash
# Requests of one kind get answers whose heads are cut, from any engine. Guards against sound ones that are refused after them, while all endpoints live.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
CUT=15      # requests whose heads are cut, one after another
SOUND=10    # requests after them
SOUND_S=0.2 # between their beginnings
start_site
start_three_gates
begin_sound() { # PREFIX PATH [CURL OPTIONS...]: has them answered; prints how many were served
	local i callers=()
	for i in $(seq $SOUND); do
		call $((i % 3 + 1)) "$2" "$1$i" -o "$RUN/body.$1$i" "${@:3}" >"$RUN/status.$1$i" &
		callers+=($!)
		sleep $SOUND_S
	done
	wait "${callers[@]}"
	cat "$RUN/status.$1"* | grep -o 200 | wc -l
}
is "a stream before" "$(ask 1 /ask/x before)" 200
is "a lookup before" "$(call 1 /free/x lookup)" 200
for i in $(seq $CUT); do echo "$(call $((i % 3 + 1)) /free/answer=cut-name/then=cut-name/x "l$i")" >>"$RUN/cut"; done
is "lookups after such ones are served" "$(begin_sound f /free/x)" "$SOUND"
for i in $(seq $CUT); do echo "$(ask $((i % 3 + 1)) /ask/answer=cut-name/then=cut-name/x "c$i")" >>"$RUN/cut"; done
is "streams after such ones are served" "$(begin_sound s /ask/x -H 'X-Token-Usage: 3000,100' -d 'a sound prompt')" "$SOUND"
is "no request whose head is cut twice is served" "$(grep -c '^200$' "$RUN/cut")" 0
is "no endpoint crashed" "$(tell crashes)" 0
echo "refused as overload: $(cat "$RUN"/gate?.log | grep -c 'event=refuse request=s.* cause=overload'), in quarantine: $(cat "$RUN"/gate?.log |
	grep -c 'cause=crashes-endpoints'), with all engines ejected: $(cat "$RUN"/gate?.log | grep -c 'event=engine what=failed .* ejected=3 engines=3')," \
	"engines found alive: $(cat "$RUN"/gate?.log | grep -c 'event=crash .* proof=denied')"
exit $FAILED
