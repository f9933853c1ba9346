/* SPDX-License-Identifier: BSD-3-Clause */
/* Nodes on virtual time that may lose their own links to the endpoints. Each has the library's belief about
 * its links and its choice of peers; what the gateway does between them is played in short: a connection, a
 * peer's answer, a probe. */
#ifndef TEST_LINK_FLEET_H
#define TEST_LINK_FLEET_H

#include "bayhoist/link_state.h"
#include "bayhoist/relay_peers.h"
#include "member_fleet.h"

#define LINK_FLEET_ENDPOINTS 20

/* What happens to new connections over links that are cut. */
typedef enum { FACE_REFUSED, FACE_DARK, FACE_COUNT } Face;

/* What a node does for a request whose endpoint it can't connect to. */
typedef enum { WAY_NONE, WAY_STEER, WAY_RELAY, WAY_COUNT } Way;

typedef struct LinkFleet LinkFleet;

typedef struct {
	MemberNode *node;
	LinkFleet *fleet;
	BH__LinkState *state;
	BH__RelayPeers *peers;
	BH__LinksState known;
	bool is_cut;       /* its links are cut */
	unsigned direct;   /* requests that it sent itself */
	unsigned for_peer; /* requests that it sent for peers */
} LinkNode;

struct LinkFleet {
	MemberFleet *members;
	LinkNode *node;
	unsigned count;
	Face face;
	Way way;
	bool dead[LINK_FLEET_ENDPOINTS + 1]; /* endpoints that nobody reaches, by id */
	GArray *looks;                       /* Look: probes of nodes themselves that end later */
	unsigned blamed;                     /* failures that were put down to an endpoint */
	unsigned messages;                   /* announcements of nodes */
};

LinkFleet *link_fleet_new(unsigned count, Way way, Face face);
void link_fleet_delete(LinkFleet *f);
void link_fleet_run(LinkFleet *f, unsigned ms);
bool link_fleet_request(LinkFleet *f, unsigned node, uint64_t endpoint_id, uint64_t *took_us);

#endif
