/* SPDX-License-Identifier: BSD-3-Clause */
/* One node's part in knowing requests that crash endpoints. A node whose sending broke off reports that to
 * the node which judges the crashes of the service. That one has the endpoint looked at, gathers who was
 * under way there, and tells all nodes of requests that are suspected of a second crash or are held. Probes
 * among nodes carry a hash of these entries, so that one which has missed something is told. While no
 * endpoint breaks off a request this costs no message. No I/O, no clock of its own. */
#ifndef BAYHOIST_CRASH_WATCH_H
#define BAYHOIST_CRASH_WATCH_H

#include "bayhoist/crash_reports.h"
#include "bayhoist/members.h"
#include "bayhoist/message.h"

typedef struct BH__CrashPort {
	void (*send)(struct BH__CrashPort *port, uint64_t node_id, BH__Message *m);
	/* Tells when an endpoint started (0: not known). Returns false if it is not known, or leaves: such a one
	 * breaks off what it must. */
	bool (*find_endpoint)(struct BH__CrashPort *port, uint64_t endpoint_id, uint64_t *born_ms);
	/* Looks whether an endpoint still listens; bh__crash_watch_process_proof() is called with what that
	 * shows. */
	void (*look)(struct BH__CrashPort *port, uint64_t endpoint_id);
	/* A request is suspected of two crashes or more, held, or not any more; `judged` by this node. */
	void (*changed)(struct BH__CrashPort *port, const BH__QuarantineEntry *entry, bool judged);
} BH__CrashPort;

typedef struct BH__CrashWatch BH__CrashWatch;

BH__CrashWatch *bh__crash_watch_new(BH__CrashPort *port, BH__Members *members);
void bh__crash_watch_delete(BH__CrashWatch *w);
void bh__crash_watch_note_broken(BH__CrashWatch *w, uint64_t service_id, uint64_t endpoint_id,
								 const BH__Fingerprint *f, bool helped, uint64_t now_us);
void bh__crash_watch_note_served(BH__CrashWatch *w, uint64_t service_id, const BH__Fingerprint *f,
								 bool was_broken, uint64_t now_us);
bool bh__crash_watch_process_message(BH__CrashWatch *w, const BH__Message *m, uint64_t now_us);
void bh__crash_watch_process_proof(BH__CrashWatch *w, uint64_t endpoint_id, BH__CrashProof proof,
								   uint64_t now_us);
void bh__crash_watch_process_start(BH__CrashWatch *w, uint64_t endpoint_id, uint64_t born_ms,
								   uint64_t now_us);
void bh__crash_watch_process_tick(BH__CrashWatch *w, uint64_t now_us);
uint64_t bh__crash_watch_get_due_us(const BH__CrashWatch *w);
void bh__crash_watch_learn(BH__CrashWatch *w, const BH__QuarantineEntry *aged, uint64_t now_us);
bool bh__crash_watch_release(BH__CrashWatch *w, const BH__Fingerprint *f, uint64_t now_us);
bool bh__crash_watch_is_suspected(const BH__CrashWatch *w, const BH__Fingerprint *f);
BH__Quarantine *bh__crash_watch_get_quarantine(const BH__CrashWatch *w);
uint64_t bh__crash_watch_get_judged(const BH__CrashWatch *w);

#endif
