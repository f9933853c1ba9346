/* SPDX-License-Identifier: BSD-3-Clause */
/* The idempotency table: keeps, in the memory of one boot of a node, the outcomes of requests that must run
 * at most once. */
#ifndef BAYHOIST_ONCE_H
#define BAYHOIST_ONCE_H

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
	BH__ONCE_RUN,       /* not seen before: the caller runs it */
	BH__ONCE_RUNNING,   /* still running */
	BH__ONCE_FINISHED,  /* its outcome is known */
	BH__ONCE_OTHER,     /* the key was used with a different request body */
	BH__ONCE_FORGOTTEN, /* its stamp is not above the low-water mark: it may have run */
	BH__ONCE_ELSEWHERE  /* the stamp was issued by another node or another boot */
} BH__OnceState;

/* Names of the states, indexed by BH__OnceState. */
extern const char *const BH__OnceStateString[];

/* How a request ended. */
typedef struct {
	BH__Verdict verdict;
	BH__Reason reason;
	const char *answer; /* NULL if there is none or it was too large to keep */
	size_t answer_len;  /* in bytes */
} BH__OnceOutcome;

typedef struct BH__Once BH__Once;

BH__Once *bh__once_new(uint32_t max_entries, size_t max_answer_bytes);
void bh__once_delete(BH__Once *o);
uint64_t bh__once_issue(BH__Once *o);
BH__OnceState bh__once_claim(BH__Once *o, uint64_t account_id, const char *key, uint64_t body_hash,
							 uint64_t sequence, uint64_t *entry_id, BH__OnceOutcome *outcome);
void bh__once_finish(BH__Once *o, uint64_t entry_id, const BH__OnceOutcome *outcome);
uint64_t bh__once_get_low_water(const BH__Once *o);
uint32_t bh__once_get_count(const BH__Once *o);
bool bh__stamp_parse(const char *text, BH__Stamp *stamp);
void bh__stamp_write(const BH__Stamp *stamp, char out[BH__STAMP_LEN]);

#endif
