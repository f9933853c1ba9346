#!/usr/bin/env bash
# A text from outside that is cut to the size of its place is another's that begins alike: a key, an id, a name. Each copy that
# cuts is listed here with what makes it safe; texts of outside go through bh__text_fit() or bh__text_copy(), or are texts of their own.
set -u
cd "$(dirname "$0")/.."
ALLOWED="
src/share/peers.c out->address             checked: it has been parsed as an address
src/bayhoistd/main.c options.self.name     settings, which are checked
src/bayhoistd/main.c options.self.hall     settings, which are checked
src/bayhoistd/main.c options.self.peer_address    settings, which are checked
src/bayhoistd/main.c options.self.caller_address  settings, which are checked
src/bayhoistd/poll.c p->address            a resource, which is checked
src/bayhoistd/poll.c call->name            a resource, which is checked
src/bayhoistd/poll.c call->action          a word of our own
src/bayhoist-gate/schedulers.c s->service  a name that fits
src/bayhoist-gate/relay_channel.c r->request_id  an id that fits
src/bayhoist-gate/relay_channel.c m.as.relay_open.request_id  an id that fits
src/bayhoist-gate/cluster.c self.name      settings, which are checked
src/bayhoist-gate/cluster.c self.hall      settings, which are checked
src/bayhoist-gate/cluster.c self.peer_address    settings, which are checked
src/bayhoist-gate/cluster.c self.caller_address  settings, which are checked
src/bayhoist-gate/outbound.c o->address    an entry, which is checked
src/bayhoist-gate/outbound.c o->request_id an id that fits
src/bayhoist-gate/hall_paths.c probe->hall a name that fits
src/bayhoist-gate/memory.c r->address      an entry, which is checked
src/bayhoist-gate/relay_server.c y->request_id   a message, which is checked
src/bayhoist-gate/call.c c->admission.service    a name that fits
src/bayhoist-gate/links.c report.service   a name that fits
src/libbayhoist/registry_halls.c d.name    a name that fits
src/libbayhoist/resource.c r->name         checked by its caller
src/libbayhoist/endpoint_signal.c s->text  for the log only
src/libbayhoist/hall_paths.c hall->name    a name that fits
src/libbayhoist/hall_paths.c out->from     a name that fits
src/libbayhoist/hall_paths.c out->to       a name that fits
src/libbayhoist/hall_paths.c out->hall     a name that fits
src/libbayhoist/fingerprint.c high         half of a text whose length is checked
src/libbayhoist/field.c out                checked: a text that does not fit is an error
src/libbayhoist/admission.c out->forward_address an address that fits
src/libbayhoist/routes.c r->hall           a resource, which is checked
src/libbayhoist/routes.c r->model          a resource, which is checked
platform/duties.c r->duty                  a name that fits
platform/engines.c c->address              an entry, which is checked
platform/engines.c c->id                   an id of our own
"
failed=0
while read -r file place; do
	grep -qF "$file $place " <<<"$(tr -s ' ' <<<"$ALLOWED")" && continue
	echo "FAILED: $file: a copy to $place that may cut, and is not listed"
	failed=1
done < <(grep -rnoE "(g_strlcpy|strncpy)\([^,]+" src/libbayhoist src/bayhoist-gate src/bayhoistd src/share platform --include=*.c |
	sed -E 's/^([^:]+):[0-9]+:(g_strlcpy|strncpy)\(/\1 /')
[ $failed = 0 ] && echo "ok: no copy that may cut a text from outside"
exit $failed
