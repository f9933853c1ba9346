/* SPDX-License-Identifier: BSD-3-Clause */
/* The configuration: a catalog at a revision. The store holds it as immutable chunks and one small head that
 * refers to them and is replaced by compare-and-swap. The revision increases with each change. */
#ifndef BAYHOIST_CONFIG_H
#define BAYHOIST_CONFIG_H

#include "bayhoist/catalog.h"
#include "bayhoist/store.h"

typedef struct BH__Config BH__Config;

/* Outcome of a change. */
typedef enum {
	BH__APPLY_OK,
	BH__APPLY_INVALID,
	BH__APPLY_CONFLICT,   /* another change to the same resources came first */
	BH__APPLY_STORE_DOWN, /* the head was not changed and will not be */
	BH__APPLY_UNKNOWN     /* the store did not reply; the change may still take effect */
} BH__ApplyStatus;

extern const char *const BH__ApplyStatusString[];

/* Result of a change, valid only during the callback. */
typedef struct {
	BH__ApplyStatus status;
	uint64_t revision;   /* of the configuration in force on this node */
	const char *message; /* names the field and the cause, or both sides of a conflict; empty on success */
} BH__ApplyResult;

/* Called once when a change has ended. */
typedef void (*BH__ApplyDone)(void *ctx, const BH__ApplyResult *result);
/* Called after a newer revision is in force. */
typedef void (*BH__ConfigInstalled)(void *ctx, uint64_t revision);

BH__Config *bh__config_new(BH__Store *store, BH__ConfigInstalled installed, void *ctx);
void bh__config_delete(BH__Config *c);
uint64_t bh__config_get_revision(const BH__Config *c);
const BH__Catalog *bh__config_get_catalog(const BH__Config *c);
const char *bh__config_get_head(const BH__Config *c);
void bh__config_poll(BH__Config *c, uint64_t now_us);
void bh__config_apply(BH__Config *c, const char *change, size_t len, const char *change_id,
					  const char *author, uint64_t deadline_us, BH__ApplyDone done, void *ctx,
					  uint64_t now_us);
void bh__config_process_tick(BH__Config *c, uint64_t now_us);

/* Synchronization with peers: a node sends the hashes of its chunks and receives those chunks that differ. */
void bh__config_get_chunk_hashes(const BH__Config *c, uint64_t hash[BH__CHUNK_COUNT]);
const char *bh__config_get_chunk(const BH__Config *c, unsigned chunk);
bool bh__config_install(BH__Config *c, const char *head_text, const char *const chunks[BH__CHUNK_COUNT],
						GError **error);

#endif
