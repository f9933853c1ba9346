#!/usr/bin/env bash
# A scheduler stalls for a moment, then dies: long prompts are left to a scheduler as long as their target allows, short ones are not kept.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
start_three_gates
config 2 key1 | sed 's|^{"name":"once"|{"name":"read","host":"a.example","path-prefix":"/read/","route-kind":"streaming","timeout-ms":9000,"target-latency-ms":4000,"service":"llm","max-attempts":2,"resumable":true,"gap_aim_ms":1000},\n&|' >"$RUN/config"
tell config -d "@$RUN/config"
sleep 2
ask 1 /ask/x first >/dev/null
scheduler=$(grep -h 'event=scheduler service=llm' "$RUN"/gate[123].log | tail -n 1 | sed 's/.* node=gate\([123]\).*/\1/')
others=$(echo 1 2 3 | tr -d " $scheduler")
a=${others:0:1}
read_long() { call "$1" /read/x "$2" -H 'X-Token-Usage: 200000,100' -d 'a long prompt'; }
decided_alone() { grep -c "event=alone request=$1" "$RUN/gate$a.log"; }

signal "gate$scheduler" STOP
read_long "$a" long1 >"$RUN/status.long1" & long=$!
ask "$a" /ask/x short1 >"$RUN/status.short1" & short=$!
sleep 0.2
signal "gate$scheduler" CONT
wait $long $short
is "a long prompt that comes while the scheduler stalls is served" "$(cat "$RUN/status.long1")" 200
is "and is left to the scheduler" "$(decided_alone long1)" 0
is "a short one is served" "$(cat "$RUN/status.short1")" 200
is "and not kept" "$(decided_alone short1)" 1
is "it ran once" "$(tell 'runs?id=long1')" 1

signal "gate$scheduler" KILL
begun=$(date +%s%N)
is "a long prompt is served after the scheduler was killed" "$(read_long "$a" long2)" 200
is "within its target" "$([ $(($(date +%s%N) - begun)) -lt 4000000000 ] && echo yes)" yes
exit $FAILED
