#!/usr/bin/env bash
# Words of the users' platform stand in platform/, deploy/ and the tests of platform/ only.
set -u
cd "$(dirname "$0")/.."
words='X-Attempt-Id|X-Time-Budget-Ms|X-Replica-|X-Expect-Replica|X-Not-Executed|X-Token-Usage|X-Api-Key|X-Tenant|X-Model|X-Prompt-Prefix|Length-Hint|At-Server|Expect-Version|kv-key|kv-range|kv-txn|kv-watch|kv-lease|kv-keep|/readiness|/resolve|/report|"/order"|route-kind|target-latency-ms|private-key|expected-rev|op/config|traffic-split|allow-anonymous|engine-kind|gap_aim_ms|cold-remaining'
found=$(grep -rnE "$words" src include man --include='*.c' --include='*.h' --include='*.[1-9]' || true)
[ -z "$found" ] && exit 0
echo "words of the platform outside platform/:"
echo "$found"
exit 1
