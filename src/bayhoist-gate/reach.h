/* SPDX-License-Identifier: BSD-3-Clause */
/* The layer that knows how an endpoint is reached from here (its files: LAYER in test/check-layers.sh). Calls
 * and the cooperation of the nodes stand above it and call it. It calls nothing of theirs: what it has to
 * tell or ask them goes through this port, so that it can be read, and changed, by itself. */
#ifndef BAYHOIST_GATE_REACH_H
#define BAYHOIST_GATE_REACH_H

#include "gate.h"

struct ReachPort {
	/* an engine of a service failed, apart from the release of a grant */
	void (*failed)(ReachPort *port, const char *service, uint64_t endpoint_id);
	/* what a node has reported of engines rests on its own links, or on a lost path */
	void (*withdraw)(ReachPort *port, uint64_t node_id);
	/* a node is out of reach for so long that what it holds of engines is to be freed */
	void (*node_gone)(ReachPort *port, uint64_t node_id);
	/* the set of endpoints to which there is a way has changed */
	void (*paths_changed)(ReachPort *port, uint64_t now_us);
	/* endpoints may have changed in the registry, by what they or other nodes say */
	void (*endpoints_changed)(ReachPort *port);
	/* the rate limit that an endpoint names has changed */
	void (*limited)(ReachPort *port, const BH__RegisteredEndpoint *e);
	/* sends a message to a node, which may be this one */
	void (*send)(ReachPort *port, uint64_t node_id, BH__Message *m);
	/* returns the home node of a service, which decides for all how its endpoints are used */
	uint64_t (*find_home)(ReachPort *port, const char *service);
	/* returns true if the endpoints of a service are granted by a scheduler */
	bool (*has_scheduler)(ReachPort *port, const char *service);
};

#endif
