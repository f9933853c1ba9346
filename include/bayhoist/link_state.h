/* SPDX-License-Identifier: BSD-3-Clause */
/* A node's belief about its own links to the endpoints. A connection that can't be set up is the endpoint's
 * fault or that of the node's links. What tells them apart is whether another node reaches the endpoint at
 * about the same time. An endpoint that only other nodes reach has a bad path; two such endpoints, and no
 * connection of this node's since, mean that the node has lost its links to all endpoints. If nobody reaches
 * them, it is open whose fault that is. */
#ifndef BAYHOIST_LINK_STATE_H
#define BAYHOIST_LINK_STATE_H

#include <glib.h>
#include "bayhoist/types.h"

typedef enum {
	BH__LINKS_UP,
	BH__LINKS_DARK, /* two endpoints or more can't be connected to, and no other node is known to reach them
					 */
	BH__LINKS_CUT,  /* no endpoint can be connected to, while other nodes reach them */
	BH__LINKS_STATE_COUNT
} BH__LinksState;

extern const char *const BH__LinksStateString[];

/* How a request gets to an endpoint. */
typedef enum {
	BH__LINK_ROUTE_DIRECT, /* over a connection of this node's; through a peer if that takes long or fails */
	BH__LINK_ROUTE_PEER    /* through a peer; directly if no peer reaches the endpoint */
} BH__LinkRoute;

/* What the present state rests on. */
typedef struct {
	uint64_t since_us;      /* when the state began; of a cut, when the first connection failed */
	unsigned bad_paths;     /* endpoints that only other nodes reach */
	unsigned failed_paths;  /* endpoints that could not be connected to, those with a bad path included */
	uint64_t failures;      /* failed connections in the present cut, or since the last one */
	uint64_t peers_reached; /* connections of other nodes to such endpoints, in the same time */
	uint64_t cuts;          /* cuts since the start */
} BH__LinkEvidence;

typedef struct BH__LinkState BH__LinkState;

BH__LinkState *bh__link_state_new(uint64_t now_us);
void bh__link_state_delete(BH__LinkState *l);
BH__LinksState bh__link_state_get(const BH__LinkState *l);
void bh__link_state_get_evidence(const BH__LinkState *l, BH__LinkEvidence *out);
BH__LinkRoute bh__link_state_choose(const BH__LinkState *l, uint64_t endpoint_id);
uint64_t bh__link_state_get_patience_us(const BH__LinkState *l);
uint64_t bh__link_state_take_look(BH__LinkState *l, uint64_t now_us);
void bh__link_state_forget(BH__LinkState *l, uint64_t endpoint_id);
void bh__link_state_list(const BH__LinkState *l, GArray *out);
void bh__link_state_note_connect_time(BH__LinkState *l, uint64_t took_us);
void bh__link_state_note_reached(BH__LinkState *l, uint64_t endpoint_id, uint64_t opened_us, uint64_t now_us);
void bh__link_state_note_failed(BH__LinkState *l, uint64_t endpoint_id, uint64_t now_us);
void bh__link_state_note_peer(BH__LinkState *l, uint64_t endpoint_id, bool reached, uint64_t now_us);
bool bh__link_state_is_doubtful(const BH__LinkState *l, uint64_t endpoint_id);
bool bh__link_state_is_own_fault(const BH__LinkState *l, uint64_t endpoint_id, uint64_t since_us);

#endif
