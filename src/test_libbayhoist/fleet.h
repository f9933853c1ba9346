/* SPDX-License-Identifier: BSD-3-Clause */
/* A fleet of nodes on virtual time that learn what a store says of endpoints and the configuration, with the
 * library's own decisions (bayhoist/looks.h, registry.h). The store may fall silent, answer some nodes only,
 * or go back to a copy; messages take a few milliseconds, and nodes may be suspended or cut off. */
#ifndef TEST_FLEET_H
#define TEST_FLEET_H

#include "bayhoist/configuration_state.h"
#include "bayhoist/platform_sync.h"

#define FLEET_START_US (1000 * BH__SECOND_US)
#define FLEET_LOOKS_PER_S 20              /* at a store that bears 2,000 reads a second */
#define FLEET_DRAIN_MS 2000               /* in which an endpoint that leaves is to be left */
#define FLEET_CONFIGURATION_MS 2000       /* in which a configuration is to be in force */
#define FLEET_TRUST_US (4600 * BH__MS_US) /* for which a node goes on without news of the configuration */

typedef struct Fleet Fleet;

typedef struct {
	unsigned nodes;
	unsigned halls;
	unsigned endpoints;
	unsigned loss_per_mille; /* of messages among nodes */
	double looks_per_s;      /* of all nodes together while the store is away; 0: FLEET_LOOKS_PER_S */
	bool starts_alone;    /* each node knows only itself at first, and soon learns of the others from seeds */
	unsigned page;        /* entries of endpoints in one answer of the store; 0: all */
	unsigned entry_bytes; /* of an entry in an answer of the store */
	unsigned reads_per_s; /* that the store answers, of all nodes together; 0: any number */
	unsigned store_mbps;  /* link of the store, which all answers share; 0: any speed */
	unsigned node_mbps;   /* link of a node of the smaller kind; of the larger ten times that; 0: any speed */
	uint32_t seed;
} FleetOptions;

/* How the store answers those that it does not serve. */
typedef enum { FLEET_STORE_SILENT, FLEET_STORE_BUSY } FleetStoreAway;

/* What the fleet has done since it was last asked. */
typedef struct {
	unsigned calls;            /* of the store */
	unsigned messages;         /* among nodes */
	uint64_t bytes;            /* of these */
	uint64_t busiest_bytes;    /* sent by one node, at most */
	unsigned busiest_messages; /* sent by one node, at most */
} FleetWork;

Fleet *fleet_new(const FleetOptions *options);
void fleet_delete(Fleet *f);
uint64_t fleet_now_us(const Fleet *f);
void fleet_run(Fleet *f, uint64_t us);
FleetWork fleet_take_work(Fleet *f);

/* The store serves so many of a thousand nodes from now on, drawn anew. */
void fleet_set_notice_time(Fleet *f, uint64_t us); /* see bh__platform_sync_set_notice_time() */
void fleet_set_store(Fleet *f, unsigned served_per_mille, FleetStoreAway away);
void fleet_set_answer(Fleet *f, uint64_t us); /* that an answer of the store takes */
void fleet_lapse(
	Fleet *f); /* every entry goes; endpoints write theirs again, after some time, once the store is up */
void fleet_leave(Fleet *f, unsigned endpoint); /* its entry goes, for good */
void fleet_go_back(Fleet *f, uint64_t by_us);  /* the store comes back from a copy that is so old */
void fleet_drain_hall(Fleet *f, unsigned hall, bool drains); /* as operators write it */
/* The store holds a configuration that no node can decode, or the one of before again. */
void fleet_set_configuration_readable(Fleet *f, bool readable);
void fleet_set_probes(Fleet *f, bool tell); /* whether probes tell the others of suspended nodes; they do */
void fleet_suspend(Fleet *f, unsigned node, uint64_t us);
void fleet_cut(Fleet *f, unsigned node, bool from_nodes, bool from_store);
unsigned fleet_find_ranked(const Fleet *f,
						   unsigned rank);  /* node of a rank among those that may read for all */
unsigned fleet_find_reader(const Fleet *f); /* node that has looked last */

/* When what a node knows was looked up; nodes that run, are not cut off, and do not know what the store held
 * at a time; that do not serve; that would use an endpoint. */
uint64_t fleet_get_known_us(const Fleet *f, unsigned node);
unsigned fleet_count_unaware(const Fleet *f, uint64_t since_us);
unsigned fleet_count_refusing(const Fleet *f);
unsigned fleet_count_users(const Fleet *f, unsigned endpoint);
unsigned fleet_count_hall_users(const Fleet *f, unsigned hall); /* nodes that would use a hall's endpoints */
unsigned fleet_count_revivals(
	const Fleet *f); /* an endpoint that had left is used again, at any node, since the start */

#endif
