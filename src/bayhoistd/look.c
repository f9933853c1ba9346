/* SPDX-License-Identifier: BSD-3-Clause */
/* Looks whether an endpoint that broke off a request still listens. */
#include "clock.h"
#include "daemon.h"
#include "dial.h"

typedef struct {
	Daemon *daemon;
	uint64_t endpoint_id;
	Dial *dial;
} Look;

static void on_dialled_(void *look, DialEnd end);

void look_start(BH__NodePorts *ports, uint64_t endpoint_id)
{
	Daemon *d = (Daemon *)ports;
	const BH__Resource *r = bh__catalog_find(bh__node_get_catalog(d->node), BH__KIND_ENDPOINT, endpoint_id);
	Look *l;

	if (!r)
		return;
	l = g_new0(Look, 1);
	l->daemon = d;
	l->endpoint_id = endpoint_id;
	l->dial = dial_start(d->base, r->as.endpoint.address, on_dialled_, l);
	g_hash_table_add(d->looks, l);
}

static void on_dialled_(void *look, DialEnd end)
{
	static const BH__CrashEvidence Evidence[] = {[DIAL_CONNECTED] = BH__CRASH_DISPROVEN,
												 [DIAL_REFUSED] = BH__CRASH_CONFIRMED,
												 [DIAL_SILENT] = BH__CRASH_UNKNOWN};
	Look *l = look;

	g_hash_table_remove(l->daemon->looks, l);
	bh__node_process_endpoint_probe(l->daemon->node, l->endpoint_id, Evidence[end], clock_now_us());
	g_free(l);
}

/* Ends the looks that are under way; for the end of the process. */
void looks_free(Daemon *d)
{
	GHashTableIter it;
	gpointer look;

	g_hash_table_iter_init(&it, d->looks);
	while (g_hash_table_iter_next(&it, &look, NULL)) {
		dial_cancel(((Look *)look)->dial);
		g_free(look);
	}
	g_hash_table_unref(d->looks);
}
