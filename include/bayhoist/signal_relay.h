/* SPDX-License-Identifier: BSD-3-Clause */
/* One node's part in telling all nodes of the signals that endpoints give in their answers. Whoever hears one
 * tells the endpoint's home, the node that decides on its use for all, at once; the home tells all others
 * along the ring of ids, so that many nodes which hear the same make one message each, and no node sends more
 * than a few for one signal. No I/O, no clock of its own. */
#ifndef BAYHOIST_SIGNAL_RELAY_H
#define BAYHOIST_SIGNAL_RELAY_H

#include "bayhoist/members.h"
#include "bayhoist/registry.h"

typedef struct BH__SignalRelayPort {
	void (*send)(struct BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m);
	/* Returns the node that decides on the use of a service's endpoints. */
	uint64_t (*find_home)(struct BH__SignalRelayPort *port, const char *service);
	/* Another node has told something of an endpoint that this one did not know. */
	void (*learnt)(struct BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e);
} BH__SignalRelayPort;

typedef struct BH__SignalRelay BH__SignalRelay;

BH__SignalRelay *bh__signal_relay_new(BH__SignalRelayPort *port, BH__Members *members,
									  BH__Registry *registry);
void bh__signal_relay_delete(BH__SignalRelay *r);
bool bh__signal_relay_hear_leaving(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us);
void bh__signal_relay_hear_overload(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t until_us,
									uint64_t now_us);
bool bh__signal_relay_hear_limit(BH__SignalRelay *r, BH__RegisteredEndpoint *e, const BH__NamedLimit *heard,
								 uint64_t now_us);
bool bh__signal_relay_take(BH__SignalRelay *r, const BH__SignalNews *n, uint64_t now_us);
bool bh__signal_relay_process_message(BH__SignalRelay *r, const BH__Message *m, uint64_t now_us);
void bh__signal_relay_process_tick(BH__SignalRelay *r, uint64_t now_us);
void bh__signal_relay_tell_node(BH__SignalRelay *r, uint64_t node_id, uint64_t now_us);
BH__SignalNews bh__signal_news(BH__SignalKind kind, const BH__RegisteredEndpoint *e, uint64_t now_us);

#endif
