/* SPDX-License-Identifier: BSD-3-Clause */
/* The layer that knows how an endpoint is reached from here: outbound.c with its channels, answer_parser.c,
 * links.c, link_probe.c, hall_paths.c and relay_server.c. Calls and the cooperation of the nodes stand above
 * it and call it. It calls nothing of theirs: what it has to tell them goes through this port, so that it can
 * be read, and changed, by itself. */
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
	void (*changed)(ReachPort *port, uint64_t now_us);
	/* an endpoint has answered a request of a peer, and signals stand in the head of its answer */
	void (*answered)(ReachPort *port, const AnswerOrigin *o, const AnswerMeta *m);
	/* an answer has a header that is not known here */
	void (*unknown_header)(ReachPort *port, const char *header);
};

#endif
