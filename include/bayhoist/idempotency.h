/* SPDX-License-Identifier: BSD-3-Clause */
/* The idempotency table: keeps, in the memory of one boot of a node, the outcomes of requests that must run
 * at most once. */
#ifndef BAYHOIST_IDEMPOTENCY_H
#define BAYHOIST_IDEMPOTENCY_H

#include <stddef.h>
#include "bayhoist/types.h"
#include "bayhoist/verdict.h"

#define BH__STAMP_LEN 64 /* size of a stamp's text, with the terminating NUL */

/* An idempotency stamp names the only boot of a node that may run a request. That boot's table has a record
 * of every request that it ran after it issued the stamp. */
typedef struct {
	uint64_t node_id;
	uint64_t boot_id;
	uint64_t sequence; /* counts the stamps of the boot, from 1 */
} BH__Stamp;

typedef enum {
	BH__IDEMPOTENCY_RUN,          /* not seen before: the caller runs it */
	BH__IDEMPOTENCY_RUNNING,      /* still running */
	BH__IDEMPOTENCY_FINISHED,     /* its outcome is known */
	BH__IDEMPOTENCY_KEY_REUSED,   /* the key was used with a different request body */
	BH__IDEMPOTENCY_EVICTED,      /* its stamp is not above the low-water mark: it may have run */
	BH__IDEMPOTENCY_FOREIGN_STAMP /* the stamp was issued by another node or another boot */
} BH__IdempotencyState;

/* Names of the states, indexed by BH__IdempotencyState. */
extern const char *const BH__IdempotencyStateString[];

/* How a request ended. */
typedef struct {
	BH__Verdict verdict;
	BH__Reason reason;
	const char *answer; /* NULL if there is none or it was too large to keep */
	size_t answer_len;  /* in bytes */
} BH__IdempotencyOutcome;

typedef struct BH__IdempotencyTable BH__IdempotencyTable;

BH__IdempotencyTable *bh__idempotency_new(uint32_t max_entries, size_t max_answer_bytes);
void bh__idempotency_delete(BH__IdempotencyTable *t);
uint64_t bh__idempotency_issue(BH__IdempotencyTable *t);
BH__IdempotencyState bh__idempotency_claim(BH__IdempotencyTable *t, uint64_t account_id, const char *key,
										   uint64_t body_hash, uint64_t sequence, uint64_t *entry_id,
										   BH__IdempotencyOutcome *outcome);
void bh__idempotency_finish(BH__IdempotencyTable *t, uint64_t entry_id,
							const BH__IdempotencyOutcome *outcome);
uint64_t bh__idempotency_get_low_watermark(const BH__IdempotencyTable *t);
uint32_t bh__idempotency_get_count(const BH__IdempotencyTable *t);
bool bh__stamp_parse(const char *text, BH__Stamp *stamp);
void bh__stamp_write(const BH__Stamp *stamp, char out[BH__STAMP_LEN]);

#endif
