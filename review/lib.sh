# Shell functions for the cases: three gateways as deploy/system.toml starts them, before the project's stand-in
# of the store and the review's replicas. Source it in the project's folder, after setting CASE.
set -u
. test/cluster.sh # begin_run, start, signal, wait_for: a folder and ports of its own
B=target
RECORD="$PWD/$CASE/record.txt"
TROUBLE=${TROUBLE:-1}
CLIENT="$B/review/review-client"
cannot() { echo "the case could not run: $*" | tee -a "$RECORD"; exit 2; }
begin_case() {
	: >"$RECORD"
	for program in bayhoist-gate bh-fake-site review/review-replica review/review-client; do
		[ -x "$B/$program" ] || cannot "$B/$program has not been built"
	done
	begin_run
	STORE="127.0.0.1:$BASE"
	note "case=$CASE trouble=$TROUBLE"
}
note() { echo "$(date +%s%3N) $*" >>"$RECORD"; }
replica_address() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
gate_address() { echo "127.0.0.1$1:$((BASE + 20 + $2))"; } # N FIELD: 127.0.0.11 and so on
start_store() {
	start store "$B/bh-fake-site" --store "$STORE"
	wait_for 10 get "$STORE" /test/calls || cannot "no store"
}
get() { # ADDRESS PATH: succeeds at a 200
	[[ "$("$CLIENT" "$1" GET "$2" --header "Host: $1" --header 'Connection: close' --limit 1000)" == *" status=200 "* ]]
}
# The fields of deploy/settings.json.in, filled in for three machines on loopback, with the bounds of the sheets.
write_settings() { # N
	cat <<-SETTINGS
	{
		"name": "front-h$1-1", "hall": "h$1", "region": "r1",
		"caller_address": "$(gate_address "$1" 0)", "readiness_address": "$(gate_address "$1" 1)",
		"directory_address": "$(gate_address "$1" 2)", "control_address": "$(gate_address "$1" 3)",
		"peer_address": "$(gate_address "$1" 4)", "peer_key": "$STORE",
		"seeds": ["$(gate_address 1 3)", "$(gate_address 2 3)", "$(gate_address 3 3)"],
		"store_address": "$STORE",
		"stop_grace_ms": 8000, "endpoint_drain_ms": 2000, "hall_drain_ms": 0, "configuration_ms": 2000,
		"key_trust_ms": 5000, "memory_hold_max_ms": 20000, "cores": 0.25, "memory_mb": 260,
		"link_mbps": 1000.0, "store_reads_per_s": 2000, "directory_ttl_max_s": 5,
		"repeat_share": 0.2, "repeat_extra": 106
	}
	SETTINGS
}
start_gate() { # N: as deploy/system.toml says
	write_settings "$1" >"$RUN/gate$1.json"
	start "gate$1" "$B/bayhoist-gate" --config "$RUN/gate$1.json"
	disown
}
put_manifest() { # FILE
	"$CLIENT" "$STORE" POST /test/config --header "Host: $STORE" --header 'Connection: close' --body "$(cat "$1")" >/dev/null
}
manifest() { # ATTEMPTS: the largest number of replicas for a request of the streaming route
	cat <<-JSON
	{"version":3,"routes":[
	{"name":"r-ask","host":"site.example","path-prefix":"/ask/","route-kind":"streaming","timeout-ms":${LIMIT_MS:-10000},"target-latency-ms":300,"priority":1,"service":"llm","max-attempts":$1,"allow-anonymous":false,"sticky":true,"resumable":true,"gap_aim_ms":200},
	{"name":"r-page","host":"site.example","path-prefix":"/page/","route-kind":"idempotent","timeout-ms":${LIMIT_MS:-10000},"target-latency-ms":300,"priority":2,"service":"web","max-attempts":2,"allow-anonymous":false},
	{"name":"r-book","host":"site.example","path-prefix":"/book/","route-kind":"non_idempotent","timeout-ms":${LIMIT_MS:-10000},"target-latency-ms":300,"priority":2,"service":"web","max-attempts":1,"allow-anonymous":false}],
	"services":[
	{"name":"llm","health-path":"/health","max-connections":434,"engine-kind":{"slots":16,"kv-tokens":450000,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":13239,"answer":1540},"hop_ms":0.1}},
	{"name":"web","health-path":"/health","max-connections":110}],
	"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
	"tenants":[{"name":"t1","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}
	JSON
}
start_gates() { # ATTEMPTS: three, which know each other and the manifest in the end
	local n
	for n in 1 2 3; do start_gate $n; done
	manifest "$1" >"$RUN/manifest"
	put_manifest "$RUN/manifest"
	for n in 1 2 3; do wait_for 15 get "$(gate_address $n 1)" /readiness || cannot "gateway $n is not ready"; done
	sleep 1.5
}
request() { # N METHOD PATH ATTEMPT [OPTION VALUE]...: sends it to gateway N; what came of it is noted in the record
	local n=$1 method=$2 path=$3 attempt=$4 answers line
	shift 4
	note "client sends attempt=$attempt gate=$n $method $path"
	answers=$("$CLIENT" "$(gate_address "$n" 0)" "$method" "$path" --header 'Host: site.example' --attempt "$attempt" \
		--header "X-Time-Budget-Ms: ${LIMIT_MS:-10000}" --limit "${LIMIT_MS:-10000}" --header "X-Api-Key: n2ctnfzs989anu6wsjnb" "$@")
	while read -r line; do note "client got gate=$n $line"; done <<<"$answers"
	echo "$answers" >>"$RUN/answers"
}
ask() { # N PATH ATTEMPT [OPTION VALUE]...: a prompt of 3,000 tokens, of which 800 are shared
	local n=$1 path=$2 attempt=$3
	shift 3
	request "$n" POST "$path" "$attempt" --body 'a prompt' --header 'X-Model: m' --header 'X-Token-Usage: 3000,4000' \
		--header "X-Prompt-Prefix: 5c1e07a2:800,$(printf %s "$attempt" | md5sum | cut -c1-8):2200" "$@"
}
verdict() { # BROKEN TEXT: the number of breaks of the rule
	note "result: $2"
	echo "$2"
	[ "$1" = 0 ] || exit 1
	exit 0
}
