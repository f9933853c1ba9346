#!/usr/bin/env bash
# What bayhoistd calls sends bytes without an end: an engine as its answer to a prompt, an order or a cancel, or as its report, the
# list of VMs. Guards against memory that they cost: evhttp keeps all of a body unless it is told a bound.
set -u
. test/cluster.sh
begin_run
FAILED=0
MEMORY_MAX=40 # MiB that they may cost
K="Authorization: Bearer ${CALLER_KEY_PREFIX}1"
is() { # WHAT HAVE WANTED
	if [ "$2" = "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: have \"$2\", wanted \"$3\""; FAILED=1; fi
}
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=0:thread_local_quarantine_size_kb=0" # freed memory is free
early_address() { echo "127.0.0.1:$((BASE + 450 + $1))"; }
EARLY=$(early_address 0)
start_platform
early="--link $(early_address 9),$PLATFORM"
for n in 1 2; do
	start_engine $n --kv-bytes 400000
	early="$early --link $(early_address $n),$(engine_address $n)"
done
start early "$B/bh-early-endpoints" --control "$EARLY" $early
write_settings 1
sed -i "s/\"vm_list_address\": \"[^\"]*\"/\"vm_list_address\": \"$(early_address 9)\"/" "$RUN/node1.json"
start node1 "$B/bayhoistd" --config "$RUN/node1.json"
wait_for 20 ctl 1 status || exit 1
resources() { # VERSION: of both engines
	write_resources 2 0 1 400000 | sed "s/$(engine_address 1)/$(early_address 1)/;s/$(engine_address 2)/$(early_address 2)/;s/\"version\":\"v1\"/\"version\":\"$1\"/"
}
resources v1 >"$RUN/resources.json"
ctl 1 apply "$RUN/resources.json" >/dev/null || exit 1
ready() { [ "$(ctl 1 status --json | grep -c '"ready":true')" = 2 ]; }
wait_for 30 ready || exit 1
memory_mb() { awk '/^VmRSS/ { print int($2 / 1024) }' "/proc/$(pid_of node1)/status"; }
endless() { curl -s -m 3 "http://$EARLY/endless?path=$1" >/dev/null; }
prompt() { # SECONDS: a caller that leaves after so long
	curl -s -N -m "$1" -o /dev/null -H "$K" -d '{"model":"archive","prompt":"What does page 3 say?","stream":true,"max_tokens":400}' "http://$(caller_address 1)/v1/completions"
}
grows() { # WHAT PATH: over three seconds in which callers leave, and versions change
	local before most=0 now i
	before=$(memory_mb)
	endless "$2"
	[ "$2" != /admin/orders ] || { resources v2 >"$RUN/v2.json"; ctl 1 apply "$RUN/v2.json" >/dev/null; }
	for i in 1 2 3 4 5 6 7 8; do
		prompt 0.3
		sleep 0.1
		now=$(memory_mb)
		most=$((now > most ? now : most))
	done
	is "$1 without an end: costs $((most - before)) MiB" "$((most - before < MEMORY_MAX))" 1
	is "$1 without an end: the node lives" "$(ctl 1 status >/dev/null && echo yes)" yes
	endless none
	sleep 0.5
}
prompt 0.3
grows "a list of VMs" /vms
grows "an answer to a cancel" /v1/attempts/
grows "an answer to an order" /admin/orders
grows "an engine's answer" /v1/completions
grows "an engine's report" /v1/load
exit $FAILED
