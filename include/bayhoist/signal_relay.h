/* SPDX-License-Identifier: BSD-3-Clause */
/* One node's part in distributing the signals that endpoints send in their answers. A node that receives a
 * signal notifies the endpoint's home node at once, which decides for all nodes how the endpoint is used. The
 * home node broadcasts the signal down the ring tree. So many nodes that receive the same signal send one
 * message each, and no node sends more than a few messages for one signal. The module does no I/O and has no
 * clock of its own. */
#ifndef BAYHOIST_SIGNAL_RELAY_H
#define BAYHOIST_SIGNAL_RELAY_H

#include "bayhoist/members.h"
#include "bayhoist/registry.h"

typedef struct BH__SignalRelayPort {
	/* Sends a message to a node. */
	void (*send)(struct BH__SignalRelayPort *port, uint64_t node_id, BH__Message *m);
	/* Returns the home node of a service, which decides how its endpoints are used. */
	uint64_t (*find_home)(struct BH__SignalRelayPort *port, const char *service);
	/* Called after an update from another node has changed what this node knows of an endpoint. */
	void (*merged)(struct BH__SignalRelayPort *port, BH__SignalKind kind, const BH__RegisteredEndpoint *e);
} BH__SignalRelayPort;

typedef struct BH__SignalRelay BH__SignalRelay;

BH__SignalRelay *bh__signal_relay_new(BH__SignalRelayPort *port, BH__Members *members,
									  BH__Registry *registry);
void bh__signal_relay_delete(BH__SignalRelay *r);
bool bh__signal_relay_receive_leaving(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us);
void bh__signal_relay_receive_overload(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t until_us,
									   uint64_t now_us);
bool bh__signal_relay_receive_limit(BH__SignalRelay *r, BH__RegisteredEndpoint *e,
									const BH__AdvertisedLimit *limit, uint64_t now_us);
void bh__signal_relay_report_silence(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t sent_us,
									 uint64_t now_us);
void bh__signal_relay_note_heard(BH__SignalRelay *r, BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__signal_relay_merge(BH__SignalRelay *r, const BH__SignalUpdate *n, uint64_t now_us);
bool bh__signal_relay_process_message(BH__SignalRelay *r, const BH__Message *m, uint64_t now_us);
void bh__signal_relay_process_tick(BH__SignalRelay *r, uint64_t now_us);
void bh__signal_relay_notify_node(BH__SignalRelay *r, uint64_t node_id, uint64_t now_us);
BH__SignalUpdate bh__signal_update_make(BH__SignalKind kind, const BH__RegisteredEndpoint *e,
										uint64_t now_us);

#endif
