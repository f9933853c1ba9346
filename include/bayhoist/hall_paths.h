/* SPDX-License-Identifier: BSD-3-Clause */
/* Belief about the paths between data halls. A new connection needs both directions, so a pair of halls has a
 * path or has none, whichever direction is dead; which one it is shows in whether anything is still heard.
 *
 * A node that gets no round trip to several targets of a hall, while it gets one elsewhere, holds that the
 * path from its hall to that one is lost, and reports this to all nodes. Two reports of nodes of one hall
 * make the belief of all; it lasts until the reports are withdrawn or expire. */
#ifndef BAYHOIST_HALL_PATHS_H
#define BAYHOIST_HALL_PATHS_H

#include <glib.h>
#include "bayhoist/types.h"

#define BH__PATH_HALLS_MAX 64 /* halls that are told apart */

typedef enum {
	BH__PATH_OPEN,
	BH__PATH_DOUBTFUL, /* some target of the hall gave no round trip, and none has since */
	BH__PATH_LOST,     /* no connection to the hall can be set up from this node's hall */
	BH__PATH_STATE_COUNT
} BH__PathState;

extern const char *const BH__PathStateString[];

/* What a node reports of the path from its hall to another. */
typedef struct {
	uint64_t node_id;
	char from[BH__NAME_LEN];
	char to[BH__NAME_LEN];
	bool is_lost;
	bool is_heard;       /* messages from the other hall still come in */
	uint32_t hall_nodes; /* usable nodes in the reporter's hall, itself included */
} BH__PathReport;

/* The path from this node's hall to another one, and what the belief rests on. */
typedef struct {
	char hall[BH__NAME_LEN];
	BH__PathState state;
	bool is_heard;      /* messages of the hall still come in; true while the path is not lost */
	uint64_t since_us;  /* when the state began */
	unsigned failures;  /* targets without a round trip since the last one with */
	unsigned reporters; /* nodes that report it lost, from either side */
	bool has_detour;    /* some other hall has a path to both */
} BH__PathInfo;

typedef struct BH__HallPaths BH__HallPaths;

BH__HallPaths *bh__hall_paths_new(const char *own_hall, uint64_t own_node);
void bh__hall_paths_delete(BH__HallPaths *h);
void bh__hall_paths_note_failed(BH__HallPaths *h, const char *hall, uint64_t target, uint64_t now_us);
void bh__hall_paths_note_reached(BH__HallPaths *h, const char *hall, uint64_t now_us);
void bh__hall_paths_note_heard(BH__HallPaths *h, const char *hall, uint64_t now_us);
void bh__hall_paths_process_report(BH__HallPaths *h, const BH__PathReport *r, uint64_t now_us);
void bh__hall_paths_set_nodes(BH__HallPaths *h, const char *hall, uint32_t nodes);
void bh__hall_paths_process_tick(BH__HallPaths *h, uint64_t now_us);
const char *bh__hall_paths_take_probe(BH__HallPaths *h, uint64_t now_us);
bool bh__hall_paths_take_report(BH__HallPaths *h, uint64_t now_us, BH__PathReport *out);
BH__PathState bh__hall_paths_get_state(const BH__HallPaths *h, const char *hall);
bool bh__hall_paths_is_lost(const BH__HallPaths *h, const char *hall);
bool bh__hall_paths_has_path(const BH__HallPaths *h, const char *a, const char *b);
bool bh__hall_paths_is_reachable(const BH__HallPaths *h, const char *hall);
bool bh__hall_paths_may_relay(const BH__HallPaths *h, const char *carrier, const char *to);
bool bh__hall_paths_plans_together(const BH__HallPaths *h, const char *hall);
bool bh__hall_paths_may_serve(const BH__HallPaths *h, const char *hall);
uint64_t bh__hall_paths_get_version(const BH__HallPaths *h);
unsigned bh__hall_paths_get_count(const BH__HallPaths *h);
void bh__hall_paths_get_info(const BH__HallPaths *h, unsigned index, BH__PathInfo *out);

#endif
