/* SPDX-License-Identifier: BSD-3-Clause */
/* Detection of requests, and of what requests share, that crash endpoints, on one node. A node whose dispatch
 * was aborted by an endpoint reports it to the node that evaluates the crashes of the service. The evaluating
 * node starts a liveness probe of the endpoint, collects the subjects of the requests that were under way
 * there, and notifies all nodes of subjects that have met a second crash or are quarantined. A node that has
 * seen an answer begin on a part says so then. Pings between nodes carry a hash of these entries, so that a
 * node that has missed an update receives it. No messages are sent while no endpoint aborts a request. The
 * module does no I/O, and the caller supplies the time. */
#ifndef BAYHOIST_CRASH_WATCH_H
#define BAYHOIST_CRASH_WATCH_H

#include "bayhoist/crash_reports.h"
#include "bayhoist/members.h"
#include "bayhoist/message.h"

typedef struct BH__CrashPort {
	void (*send)(struct BH__CrashPort *port, uint64_t node_id, BH__Message *m);
	/* Stores the endpoint's start time in ms (0: unknown). Returns false if the endpoint is unknown, or is
	 * leaving: a leaving endpoint may abort requests without a crash. */
	bool (*find_endpoint)(struct BH__CrashPort *port, uint64_t endpoint_id, uint64_t *started_ms);
	/* Starts a liveness probe of an endpoint; bh__crash_watch_process_evidence() takes the result. */
	void (*probe)(struct BH__CrashPort *port, uint64_t endpoint_id);
	/* Called when the entry of a subject with evidence of two crashes or more has changed. `evaluated`: the
	 * change was made by this node rather than merged from another. */
	void (*changed)(struct BH__CrashPort *port, const BH__QuarantineEntry *entry, bool evaluated);
} BH__CrashPort;

/* A dispatch of a request that its endpoint aborted. */
typedef struct {
	const BH__CrashSubjects *subjects; /* of the request */
	uint64_t endpoint_id;
	uint64_t sent_us; /* when the request was sent */
	bool was_helper;  /* the endpoint was only a helper of the request */
	bool had_begun;   /* the endpoint had begun to answer */
} BH__AbortedDispatch;

typedef struct BH__CrashWatch BH__CrashWatch;

BH__CrashWatch *bh__crash_watch_new(BH__CrashPort *port, BH__Members *members);
void bh__crash_watch_delete(BH__CrashWatch *w);
bool bh__crash_watch_note_aborted(BH__CrashWatch *w, const BH__AbortedDispatch *d, uint64_t now_us);
void bh__crash_watch_note_begun(BH__CrashWatch *w, const BH__CrashSubjects *s, uint64_t now_us);
void bh__crash_watch_note_served(BH__CrashWatch *w, const BH__CrashSubjects *s, bool was_aborted,
								 uint64_t now_us);
void bh__crash_watch_process_member(BH__CrashWatch *w, uint64_t node_id, uint64_t now_us);
bool bh__crash_watch_process_message(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us);
void bh__crash_watch_process_evidence(BH__CrashWatch *w, uint64_t endpoint_id, BH__CrashEvidence evidence,
									  uint64_t now_us);
void bh__crash_watch_process_start(BH__CrashWatch *w, uint64_t endpoint_id, uint64_t started_ms,
								   uint64_t now_us);
void bh__crash_watch_process_tick(BH__CrashWatch *w, uint64_t now_us);
uint64_t bh__crash_watch_get_due_us(const BH__CrashWatch *w);
void bh__crash_watch_merge(BH__CrashWatch *w, const BH__QuarantineEntry *aged, uint64_t now_us);
bool bh__crash_watch_release(BH__CrashWatch *w, const BH__Fingerprint *f, uint64_t now_us);
bool bh__crash_watch_is_suspected(const BH__CrashWatch *w, const BH__CrashSubjects *s);
BH__Quarantine *bh__crash_watch_get_quarantine(const BH__CrashWatch *w);
uint64_t bh__crash_watch_get_evaluated(const BH__CrashWatch *w);

#endif
