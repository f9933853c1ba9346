/* SPDX-License-Identifier: BSD-3-Clause */
/* The entry node's view of all pools: their location, their scheduler and their expected waiting time. */
#ifndef BAYHOIST_PRIVATE_ROUTES_H
#define BAYHOIST_PRIVATE_ROUTES_H

#include "bayhoist/members.h"
#include "bayhoist/pool.h"

typedef struct {
	uint64_t pool_id;
	uint64_t model_id;
	char hall[BH__NAME_LEN];
	char model[BH__NAME_LEN];
	uint32_t endpoints; /* number of endpoints that are not leaving */
	uint64_t scheduler; /* scheduling node, valid for members_version */
	uint64_t members_version;
	uint64_t grants_notified_boot;  /* boot id of the scheduler last notified of this node's live grants */
	uint32_t grants_notified_count; /* number of grants in that notification */
	BH__PoolDigest digest;
	uint64_t digest_us;   /* when the digest was received; 0: never */
	uint64_t sent_tokens; /* prompt tokens sent to the pool since the digest was received */
} BH__Route;

typedef struct BH__Routes BH__Routes;

BH__Routes *bh__routes_new(void);
void bh__routes_delete(BH__Routes *t);
void bh__routes_load(BH__Routes *t, const BH__Catalog *c);
BH__Route *bh__routes_find(const BH__Routes *t, uint64_t pool_id);
unsigned bh__routes_get_count(const BH__Routes *t);
BH__Route *bh__routes_get(const BH__Routes *t, unsigned index);
uint64_t bh__route_get_scheduler(BH__Route *r, const BH__Members *m);
void bh__routes_update_digest(BH__Routes *t, const BH__PoolDigest *d, uint64_t now_us);
BH__Route *bh__routes_choose(BH__Routes *t, uint64_t model_id, const BH__Ask *ask, const BH__Policy *policy,
							 const char *own_hall, const uint64_t *tried, unsigned tried_count,
							 uint64_t now_us);
void bh__routes_note_sent(BH__Routes *t, BH__Route *r, const BH__Ask *ask);

#endif
