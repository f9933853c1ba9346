/* SPDX-License-Identifier: BSD-3-Clause */
/* Nodes in halls on virtual time, between which paths may be dead in one direction or both. Each has the
 * library's belief about paths, membership and the choice of peers; what the gateway does between them is
 * played in short: a probe, a request that a scheduler grants, a connection, a peer. */
#ifndef TEST_PATH_FLEET_H
#define TEST_PATH_FLEET_H

#include "bayhoist/hall_paths.h"
#include "bayhoist/relay_peers.h"
#include "member_fleet.h"

#define PATH_HALLS_MAX 5
#define PATH_ENDPOINTS 15 /* in the halls in turn */

typedef struct PathFleet PathFleet;

typedef struct {
	MemberNode *node;
	PathFleet *fleet;
	unsigned hall;
	BH__HallPaths *paths;
	BH__RelayPeers *peers;
	uint64_t version;    /* of `paths`, as told to membership */
	uint64_t scheduler;  /* node that has the duty of the tests */
	unsigned moves;      /* how often that has changed */
	unsigned losses;     /* paths that it has seen lost */
	unsigned for_peer;   /* requests that it sent for peers */
	unsigned probes;     /* connections that it has made to look */
	unsigned reports;    /* reports that it has begun to broadcast */
	unsigned ever_dead;  /* nodes that it has seen dead */
	unsigned ever_doubt; /* nodes that it has seen suspected */
} PathNode;

struct PathFleet {
	MemberFleet *members;
	PathNode *node;
	unsigned count;
	unsigned halls;
	bool is_dead[PATH_HALLS_MAX][PATH_HALLS_MAX]; /* nothing passes from one to the other */
	uint64_t dead_since_us;
	bool silent[PATH_ENDPOINTS];    /* endpoints that answer no connection */
	bool is_dark[PATH_HALLS_MAX];   /* machines of the hall are without power */
	bool is_killed[PATH_HALLS_MAX]; /* nodes of the hall are dead; their machines refuse connections */
	bool ignores_paths;             /* for comparison: nobody uses the belief */
	GRand *rand;
	GArray *probes; /* Probe: end without a round trip later */
	unsigned asked[PATH_HALLS_MAX];
	unsigned served[PATH_HALLS_MAX]; /* first tries, by the hall of the node that the caller asked */
};

PathFleet *path_fleet_new(unsigned count, unsigned halls);
void path_fleet_delete(PathFleet *f);
void path_fleet_cut(PathFleet *f, unsigned from, unsigned to, bool is_dead);
void path_fleet_heal(PathFleet *f);
void path_fleet_run(PathFleet *f, unsigned ms, unsigned requests_per_tick);
void path_fleet_reset_counts(PathFleet *f);
unsigned path_fleet_get_share(const PathFleet *f, unsigned hall);
unsigned path_fleet_count_lost(const PathFleet *f);
unsigned path_fleet_count_members(const PathFleet *f, BH__MemberState state);

#endif
