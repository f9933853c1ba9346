/* SPDX-License-Identifier: BSD-3-Clause */
/* Table of what may crash the endpoints that run it: requests (queries of death) and parts that many requests
 * share (crash_subject.h). An entry holds whether its subject is suspected or quarantined, the evidence
 * against it, and when its state expires. The node that evaluates the crashes of a service's endpoints adds
 * entries; the other nodes merge them. The module does no I/O, and the caller supplies the time. */
#ifndef BAYHOIST_QUARANTINE_H
#define BAYHOIST_QUARANTINE_H

#include <glib.h>
#include "bayhoist/crash_subject.h"
#include "bayhoist/types.h"

/* The unit of evidence is half a crash. Three crashes quarantine a subject. Two would be too few: of 218
 * innocent requests that ran beside two crashing ones over 28 s, 120 were under way in a second crash. */
#define BH__CRASH_WEIGHT 2
#define BH__QUARANTINE_THRESHOLD_WEIGHT (3 * BH__CRASH_WEIGHT)
/* Weight from which the other nodes are notified of an entry. It is two crashes because most requests that
 * are under way in one crash are in no second one. */
#define BH__QUARANTINE_NOTIFY_WEIGHT (2 * BH__CRASH_WEIGHT)
#define BH__QUARANTINE_CRASHES_MAX 4 /* crashed endpoints listed in an entry, the first ones */

typedef enum {
	BH__QUARANTINE_SUSPECTED, /* was under way in crashes; is still dispatched */
	BH__QUARANTINE_HELD,      /* quarantined: refused */
	BH__QUARANTINE_PROBATION, /* quarantine expired; one more crash renews it */
	BH__QUARANTINE_CLEARED,   /* was served, or released by an operator */
	BH__QUARANTINE_STATE_COUNT
} BH__QuarantineState;

extern const char *const BH__QuarantineStateString[];

typedef enum {
	BH__QUARANTINE_CRASH,           /* an endpoint crashed while a request with the subject was under way */
	BH__QUARANTINE_THRESHOLD_CRASH, /* the same, and the evidence reaches the threshold */
	BH__QUARANTINE_SERVE,           /* an endpoint completed the request, or began to answer on the part */
	BH__QUARANTINE_RELEASE,         /* an operator released the subject */
	BH__QUARANTINE_EXPIRE,          /* the time of its state has ended */
	BH__QUARANTINE_EVENT_COUNT
} BH__QuarantineEvent;

typedef struct {
	BH__Fingerprint fingerprint;
	BH__SubjectKind kind;
	BH__QuarantineState state;
	uint32_t version;    /* incremented on each change; the higher version wins a merge */
	uint32_t weight;     /* evidence, in halves of a crash */
	uint32_t times_held; /* consecutive quarantines; each lasts twice as long as the last */
	uint64_t since_us;   /* start of the state; time of the last evidence if suspected */
	uint8_t crash_count; /* number of endpoints in `crash` */
	uint64_t crash[BH__QUARANTINE_CRASHES_MAX];   /* ids of endpoints that crashed */
	uint64_t request[BH__QUARANTINE_CRASHES_MAX]; /* the request under which each did, see BH__CrashSuspect */
	/* Subjects that have met the same crashes, so that it is open which of them is the cause, are tied: a
	 * request is refused if it has all of them. */
	uint64_t tie_id;   /* shared by the tied subjects; 0: not tied */
	uint32_t tie_size; /* number of these */
} BH__QuarantineEntry;

/* A subject of a request that was under way on an endpoint when it crashed. */
typedef struct {
	BH__Fingerprint fingerprint;
	BH__SubjectKind kind;
	uint32_t weight;  /* BH__CRASH_WEIGHT, or half of it if the endpoint was only a helper */
	uint64_t request; /* the low half of the request's fingerprint */
} BH__CrashSuspect;

/* Result of evaluating a crash; zeros before the first evaluation. */
typedef struct {
	uint32_t max_weight; /* highest prior evidence against any suspect of the crash, in halves of a crash */
	struct {
		uint32_t max_weight;       /* the same, of this kind */
		uint32_t max_weight_count; /* number of subjects with that weight */
	} kind[BH__SUBJECT_KIND_COUNT];
} BH__CrashFinding;

typedef struct {
	uint64_t held;                             /* subjects that became quarantined */
	uint64_t cleared;                          /* subjects cleared of suspicion or quarantine */
	uint64_t refusals[BH__SUBJECT_KIND_COUNT]; /* requests refused because a subject is quarantined */
} BH__QuarantineCounters;

/* Returns true if this node is the first to try a subject again whose quarantine has expired. */
typedef bool (*BH__QuarantineIsFirst)(void *ctx, const BH__Fingerprint *f);

typedef struct BH__Quarantine BH__Quarantine;

BH__Quarantine *bh__quarantine_new(void);
void bh__quarantine_delete(BH__Quarantine *q);
void bh__quarantine_set_is_first(BH__Quarantine *q, BH__QuarantineIsFirst is_first, void *ctx);
bool bh__quarantine_process_event(BH__Quarantine *q, const BH__Fingerprint *f, BH__QuarantineEvent event,
								  GArray *changed, uint64_t now_us);
bool bh__quarantine_merge(BH__Quarantine *q, const BH__QuarantineEntry *entry, uint64_t now_us);
void bh__quarantine_process_tick(BH__Quarantine *q, uint64_t now_us);
uint64_t bh__quarantine_get_held_us(const BH__Quarantine *q, const BH__Fingerprint *f, uint64_t now_us);
const BH__QuarantineEntry *bh__quarantine_find_refusal(const BH__Quarantine *q, const BH__CrashSubjects *s,
													   uint64_t now_us);
void bh__quarantine_note_refusal(BH__Quarantine *q, BH__SubjectKind kind);
const BH__QuarantineEntry *bh__quarantine_find(const BH__Quarantine *q, const BH__Fingerprint *f);
void bh__quarantine_list(const BH__Quarantine *q, bool only_notified, GArray *out);
uint64_t bh__quarantine_get_hash(const BH__Quarantine *q);
const BH__QuarantineCounters *bh__quarantine_get_counters(const BH__Quarantine *q);

/* crash_evidence.c */
void bh__quarantine_process_crash(BH__Quarantine *q, uint64_t endpoint_id, const BH__CrashSuspect *suspect,
								  unsigned count, BH__CrashFinding *finding, GArray *changed,
								  uint64_t now_us);

#endif
