#!/usr/bin/env bash
# A manifest with one long name, and one after it that takes a key away. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
. review/standin-2/lib.sh
REVOKE_MS=5000
tenant() { printf '{"name":"%s","api-keys":[%s],"priority":1}' "$1" "$2"; } # NAME KEYS
NAME=consortium-of-private-schools-of-the-southern-province-shared-admissions-office
[ "${TROUBLE:-1}" = 0 ] && NAME=consortium
TENANTS="$(tenant acct '"key1"'),$(tenant other '"key2"')"
start_system
try() { # NAME KEY: one request at each gateway
	local n
	for n in 1 2 3; do
		"$OWN/caller" --to "$(node $n 0)" --id "$1-$n" --path /once/work=60/ --key "$2" --time-ms 4000 --body pay >"$RUN/caller.$1-$n"
	done
}
try before key1
TENANTS="$(tenant acct '"key1"'),$(tenant other '"key2"'),$(tenant $NAME '"key3"')"
put_key op/config "$(manifest 2)"
record "the store has taken version 2: a tenant of ${#NAME} characters is new, with key3"
sleep 4
try new key3
TENANTS="$(tenant acct ''),$(tenant other '"key2"'),$(tenant $NAME '"key3"')"
put_key op/config "$(manifest 3)"
record "the store has taken version 3: key1 is taken away"
sleep $((REVOKE_MS / 1000)).5
record "$((REVOKE_MS + 500)) ms later"
try revoked key1
try kept key2
sleep 10
record "10 s later"
try later key1
for n in 1 2 3; do record "gateway $n says it is ready: $(ready $n 200 && echo yes || echo no)"; done
collect
# The rule, strict-revoke: a request runs that was sent later than revoke-ms after the ack of the manifest that took its key away.
ran() { grep -c " ran id=$1-" "$RECORD"; }
[ "$(ran before)" = 3 ] || cannot_run "requests with a key that is known have not run"
[ "$(ran kept)" = 3 ] || cannot_run "requests with a key that was kept have not run"
broken=$(($(ran revoked) + $(ran later)))
record "requests that ran with a key that was taken away: $broken of 6; with the key that version 2 brought: $(ran new) of 3"
echo "requests that ran with a key that was taken away: $broken of 6; with the key that version 2 brought: $(ran new) of 3"
[ $broken = 0 ]
