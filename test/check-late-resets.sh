#!/usr/bin/env bash
# A gateway that is cut off, and whose connections are then accepted on the way and reset a tenth of a second later: it took its links for
# up again whenever it had looked, and lost requests until it knew better. They stay cut until an endpoint can be used.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site_behind_proxy
FAILED=0
start_three_gates
links() { "$B/bayhoistctl" --node "$(node 1 3)" links | head -n 1 | cut -d' ' -f2; }
cut_endpoints refuse 1
for i in 1 2 3 4 5 6; do ask 1 /ask/x "learn$i" >/dev/null; call 1 /free/x "look$i" >/dev/null; done
is "the node says that its links are cut" "$(links)" cut
for l in $ENDPOINT_LINKS; do set_link $l refuse 100 127.0.0.11; done
before=$(grep -c 'event=links what=up' "$RUN/gate1.log")
served=
for i in 1 2 3 4 5 6 7 8 9 10; do served="$served $(ask 1 /ask/x "a$i") $(call 1 /once/x "o$i" -d x)"; sleep 0.1; done
is "all are served through peers" "$(echo $served | tr ' ' '\n' | sort | uniq -c | tr -s ' ')" " 20 200"
is "the links stay cut" "$(links) $(($(grep -c 'event=links what=up' "$RUN/gate1.log") - before))" "cut 0"
for l in $ENDPOINT_LINKS; do set_link $l pass 0 127.0.0.11; done
up() { [ "$(links)" = up ]; }
wait_for 1 up
is "links that are back are used within a second" "$(links)" up
exit $FAILED
