/* SPDX-License-Identifier: BSD-3-Clause */
/* Requests that crash the endpoints which run them (queries of death): which are suspected, which are kept
 * from endpoints, on what evidence, and until when. The node that judges the crashes of a service's endpoints
 * enters them here; the others learn its entries. No I/O, no clock of its own. */
#ifndef BAYHOIST_QUARANTINE_H
#define BAYHOIST_QUARANTINE_H

#include <glib.h>
#include "bayhoist/fingerprint.h"
#include "bayhoist/types.h"

/* Evidence is counted in halves of a crash. Three crashes condemn a request: of 218 that ran beside two such
 * ones, over 28 s, 120 met a second crash. */
#define BH__CRASH_WEIGHT 2
#define BH__CONDEMNING_WEIGHT (3 * BH__CRASH_WEIGHT)
/* One crash more where another request was under way each time: either may be the cause. */
#define BH__CONDEMNING_WEIGHT_SHARED (4 * BH__CRASH_WEIGHT)
/* Other nodes are told of entries from here on: most requests beside a crash meet no second one. */
#define BH__TOLD_WEIGHT (2 * BH__CRASH_WEIGHT)
#define BH__QUARANTINE_CRASHES_MAX 4 /* endpoints that an entry names, the first ones */

typedef enum {
	BH__QUARANTINE_SUSPECTED, /* was under way in crashes; is sent on like any other */
	BH__QUARANTINE_HELD,      /* is refused */
	BH__QUARANTINE_PROBATION, /* was held for its time: one more crash and it is held again */
	BH__QUARANTINE_CLEARED,   /* was served, or released by an operator */
	BH__QUARANTINE_STATE_COUNT
} BH__QuarantineState;

extern const char *const BH__QuarantineStateString[];

typedef enum {
	BH__QUARANTINE_CRASH,   /* of an endpoint that it was under way on */
	BH__QUARANTINE_CONDEMN, /* the same, and that was one too many */
	BH__QUARANTINE_SERVE,   /* an endpoint has run it to a good end */
	BH__QUARANTINE_RELEASE, /* an operator's word */
	BH__QUARANTINE_EXPIRE,  /* its time is over */
	BH__QUARANTINE_EVENT_COUNT
} BH__QuarantineEvent;

typedef struct {
	BH__Fingerprint fingerprint;
	BH__QuarantineState state;
	uint32_t version;    /* grows with each change; of two entries of a request the higher one holds */
	uint32_t weight;     /* of the evidence, in halves of a crash */
	uint32_t times_held; /* in a row: each time is twice as long */
	uint64_t since_us;   /* of its state, or of the last evidence while it is suspected */
	uint8_t crash_count; /* of the endpoints below */
	uint64_t crash[BH__QUARANTINE_CRASHES_MAX]; /* ids of endpoints that crashed under it */
} BH__QuarantineEntry;

/* One request that was under way on an endpoint that crashed. */
typedef struct {
	BH__Fingerprint fingerprint;
	uint32_t weight; /* BH__CRASH_WEIGHT, or less where the endpoint only helped with it */
} BH__CrashSuspect;

/* What was found when a crash was judged. */
typedef struct {
	uint32_t most;    /* evidence that there was against any of its suspects */
	uint32_t sharing; /* suspects that had that much */
} BH__CrashFinding;

typedef struct {
	uint64_t held;     /* requests that came to be held */
	uint64_t cleared;  /* that were suspected or held, and were not any more */
	uint64_t refusals; /* of requests that were held */
} BH__QuarantineCounters;

typedef struct BH__Quarantine BH__Quarantine;

BH__Quarantine *bh__quarantine_new(void);
void bh__quarantine_delete(BH__Quarantine *q);
void bh__quarantine_process_crash(BH__Quarantine *q, uint64_t endpoint_id, const BH__CrashSuspect *suspect,
								  unsigned count, BH__CrashFinding *finding, GArray *changed,
								  uint64_t now_us);
bool bh__quarantine_process_event(BH__Quarantine *q, const BH__Fingerprint *f, BH__QuarantineEvent event,
								  uint64_t now_us);
bool bh__quarantine_learn(BH__Quarantine *q, const BH__QuarantineEntry *entry, uint64_t now_us);
void bh__quarantine_process_tick(BH__Quarantine *q, uint64_t now_us);
uint64_t bh__quarantine_get_held_us(BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us);
void bh__quarantine_note_refusal(BH__Quarantine *q);
const BH__QuarantineEntry *bh__quarantine_find(const BH__Quarantine *q, const BH__Fingerprint *f);
void bh__quarantine_list(const BH__Quarantine *q, bool only_told, GArray *out);
uint64_t bh__quarantine_get_hash(const BH__Quarantine *q);
const BH__QuarantineCounters *bh__quarantine_get_counters(const BH__Quarantine *q);

#endif
