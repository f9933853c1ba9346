/* SPDX-License-Identifier: BSD-3-Clause */
/* A small world for scenarios: one to a few BH__Node cores on virtual time, with fakes at their ports.
 * Messages take one tick; nothing of a network or a fleet is modelled beyond that they arrive, late, or not
 * at all. */
#ifndef TEST_WORLD_H
#define TEST_WORLD_H

#include "bayhoist/node.h"

#define WORLD_TICK_US (10 * BH__MS_US)
#define WORLD_NODES_MAX 6
#define WORLD_ENGINES_MAX 12

typedef struct World World;

typedef struct {
	BH__NodePorts ports; /* first: the node hands it back */
	World *world;
	BH__StorePort store_port;
	unsigned index;
	char name[BH__NAME_LEN];
	char hall[BH__NAME_LEN];
	uint64_t lives;
	BH__Node *node; /* NULL: dead */
	bool paused;
	bool dying;
	uint64_t highest_revision; /* ever in force in this life */
	bool went_back;
} WorldNode;

typedef struct {
	char name[BH__NAME_LEN];
	char hall[BH__NAME_LEN];
	uint64_t id;
	uint64_t kv_bytes;
	uint64_t boot_id;
	bool dead;
	bool paused;
	bool unfenced;
	bool stale_reports;
	bool gap;
	unsigned cut;    /* streams to break off */
	unsigned cross;  /* pieces to send under another id too */
	unsigned refuse; /* attempts to refuse as not run */
	uint64_t highest_fence;
	unsigned orders;
	unsigned stale_orders; /* with a lower fence than one before */
	unsigned new_work;     /* attempts begun since `leaving` was said */
	char loaded[BH__NAME_LEN];
	GHashTable *attempts;
	BH__LoadReport last_report;
	GArray *last_attempts;
	uint64_t cache_sequence;
} WorldEngine;

typedef struct {
	char name[BH__NAME_LEN];
	unsigned node;
	uint64_t id;
	char prompt_tag[BH__NAME_LEN]; /* requests with one tag are one request, sent more than once */
	bool once;
	bool ended;
	BH__Outcome outcome;
	BH__Admission admission;
	uint64_t pieces;
	uint64_t ended_us;
	uint64_t first_us;
	unsigned runs; /* that had begun when it ended */
	bool wrong;
} WorldRequest;

struct World {
	uint64_t now_us;
	uint64_t latency_us;
	WorldNode node[WORLD_NODES_MAX];
	unsigned node_count;
	WorldEngine engine[WORLD_ENGINES_MAX];
	unsigned engine_count;
	GPtrArray *requests;          /* WorldRequest * */
	char crash_tag[BH__NAME_LEN]; /* requests with this tag crash the engine that begins their answer */
	GHashTable *runs;             /* tag -> number of answers begun by engines */
	GQueue events;                /* Event *, by time */
	bool cut[WORLD_NODES_MAX][WORLD_NODES_MAX];
	/* the store */
	GHashTable *store;  /* key -> StoreEntry */
	GHashTable *leases; /* id -> expiry */
	uint64_t store_revision;
	int64_t next_lease;
	bool store_down;
	unsigned store_lose;
	uint64_t store_slow_us;
	uint64_t store_calls;
	/* applied changes */
	BH__ApplyStatus apply_status[32];
	unsigned apply_count;
};

World *world_new(unsigned nodes);
void world_delete(World *w);
WorldEngine *world_add_engine(World *w, const char *name, const char *hall, uint64_t kv_bytes);
void world_start_node(World *w, unsigned index);
void world_kill_node(World *w, unsigned index);
void world_run(World *w, uint64_t until_us);
WorldEngine *world_find_engine(World *w, const char *name);
void world_kill_engine(World *w, WorldEngine *e);
void world_start_engine(World *w, WorldEngine *e);
unsigned world_apply(World *w, unsigned node, const char *change);
WorldRequest *world_find_request(World *w, const char *name);
WorldRequest *world_request(World *w, unsigned node, const char *name, const char *tag, uint64_t tokens,
							uint64_t deadline_ms, const char *stamp, const char *account);
unsigned world_get_runs(World *w, const char *tag);
uint64_t world_get_held(const WorldEngine *e);

#endif
