# Shell functions for the cases of review 2; sourced by each run.sh, in the project's folder. Three gateways, started as deploy/system.toml
# says, with the settings that deploy/settings.json.in gives on a small deployment (the bounds of the users' sheets for 9 machines), the
# project's stand-in of the store (bh-fake-site without servers), and servers and callers of this folder. All addresses are loopback.
B=target
OWN=target/review-2
. test/cluster.sh
begin_run
. test/gate.sh
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
: >"$RECORD"
http() ( # ADDRESS METHOD PATH [BODY]: the head and the body of the answer; curl may not be there
	LC_ALL=C
	exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || exit 1
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$2" "$3" "$1" "${#4}" "${4:-}" >&3
	timeout 3 cat <&3
) 2>/dev/null
tell() { [[ "$(http "$STORE" GET "/test/$1")" == HTTP/1.1\ 200* ]]; }
ready() { [[ "$(http "$(node "$1" 1)" GET /readiness)" == HTTP/1.1\ $2* ]]; }
record() { echo "$(($(awk '{ print int($1 * 1000) }' /proc/uptime))) script $*" >>"$RECORD"; }
cannot_run() { echo "the case couldn't run: $*" | tee -a "$RECORD"; exit 2; }
for program in "$B/bayhoist-gate" "$B/bh-fake-site" "$OWN/replica" "$OWN/caller" "$OWN/load"; do
	[ -x "$program" ] || cannot_run "$program is not built (see the deploy file and review/build-2.sh)"
done
settings() { # N: those of deploy/settings.json.in
	cat <<JSON
{"name":"front-$1","hall":"h1","region":"r","caller_address":"$(node "$1" 0)","readiness_address":"$(node "$1" 1)",
"directory_address":"$(node "$1" 2)","control_address":"$(node "$1" 3)","peer_address":"$(node "$1" 4)","peer_key":"$STORE",
"seeds":["$(node 1 3)","$(node 2 3)","$(node 3 3)"],"store_address":"$STORE","stop_grace_ms":8000,"endpoint_drain_ms":${DRAIN_MS:-2000},
"hall_drain_ms":${HALL_DRAIN_MS:-0},"configuration_ms":${CONFIGURATION_MS:-2000},"key_trust_ms":5000,"memory_hold_max_ms":20000,"cores":0.25,"memory_mb":260,
"link_mbps":1000,"store_reads_per_s":2000,"directory_ttl_max_s":5,"repeat_share":0.2,"repeat_extra":106}
JSON
}
# VERSION: the manifest; COLD_PER_S, where it is set, is what a cold server bears, and TENANTS is a list of its tenants
manifest() {
	cat <<JSON
{"version":$1,"routes":[
{"name":"once","host":"a.example","path-prefix":"/once/","route-kind":"non_idempotent","timeout-ms":10000,"target-latency-ms":300,"priority":1,"service":"web","max-attempts":2,"allow-anonymous":false},
{"name":"free","host":"a.example","path-prefix":"/free/","route-kind":"idempotent","timeout-ms":10000,"target-latency-ms":300,"priority":1,"service":"web","max-attempts":2,"allow-anonymous":false}],
"services":[{"name":"web","health-path":"/health","max-connections":430${COLD_PER_S:+,\"cold-per-s\":$COLD_PER_S}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[${TENANTS:-{\"name\":\"acct\",\"api-keys\":[\"key1\"],\"priority\":1\}}]}
JSON
}
put_key() { # KEY TEXT: a server or an operator writes to the store
	http "$STORE" POST /kv-txn "{\"expected-rev\":[],\"put\":[{\"private-key\":\"$1\",\"value\":\"$(printf %s "$2" | base64 -w0)\",\"lease\":0}],\"remove\":[]}" >/dev/null || cannot_run "the store does not take $1"
}
start_replica() { # N [OPTIONS]: server N of the service "web", which is in the store then
	local n=$1
	shift
	start "replica$n" "$OWN/replica" --listen "$(address "$n")" --id "i-p$n" "$@"
	BORN[n]=$(date +%s%3N)
	write_entry "$n" 0
}
write_entry() { # N MS: server N writes its entry, and is cold for so long
	put_key "servers/i-p$1" "{\"service\":\"web\",\"address\":\"$(address "$1")\",\"zone\":\"h1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":$2,\"sequence\":1,\"born\":${BORN[$1]}}"
}
start_system() { # three gateways and three servers, in touch
	local n
	start site "$B/bh-fake-site" --store "$STORE"
	wait_for 30 tell calls || cannot_run "the store does not answer"
	for n in 1 2 3; do start_replica $n ${REPLICA_OPTIONS:-}; done
	put_key op/config "$(manifest 1)"
	for n in 1 2 3; do settings $n >"$RUN/gate$n.json"; start_gate $n; done
	for n in 1 2 3; do wait_for 10 ready $n 200 || cannot_run "gateway $n does not get ready"; done
	sleep 3.5 # contact-ms is 3,000
	record "three gateways are ready and in touch"
}
call_in_background() { # NODE ID PATH OPTIONS...: a caller, whose lines go to the record at the end
	"$OWN/caller" --to "$(node "$1" 0)" --id "$2" --path "$3" --key key1 "${@:4}" >"$RUN/caller.$2" 2>&1 &
	echo $! >>"$RUN/pids"
	CALLERS="${CALLERS:-} $!"
}
collect() { # what callers and servers saw, in the order of time
	[ -z "${CALLERS:-}" ] || wait $CALLERS 2>/dev/null
	cat "$RUN"/caller.* "$RUN"/replica*.log >>"$RECORD" 2>/dev/null
	sort -n -o "$RECORD" "$RECORD"
}
