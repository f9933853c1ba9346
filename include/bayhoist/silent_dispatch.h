/* SPDX-License-Identifier: BSD-3-Clause */
/* A dispatch from whose endpoint nothing comes any more. An endpoint that is silent need not be dead, and
 * whoever gives its answer up for another one may get neither. What the other endpoints of the service do in
 * the same time tells a dead endpoint from a pause of all, or of what lies between them and this node. This
 * module only decides; no I/O, no clock. */
#ifndef BAYHOIST_SILENT_DISPATCH_H
#define BAYHOIST_SILENT_DISPATCH_H

#include "bayhoist/registry.h"
#include "bayhoist/retry_state.h"

/* What this node observes around a silent dispatch. */
typedef struct {
	unsigned heard;         /* other endpoints of the service that were heard for clearly longer */
	unsigned silent;        /* others that have held requests of this node for as long, and were not */
	bool is_endpoint_heard; /* the endpoint goes on with other requests of this node, or answers a new one */
	bool is_own_fault;      /* a peer can connect to the endpoint, and this node can't */
} BH__SilenceEvidence;

/* What is done about the dispatch now. */
typedef enum {
	BH__SILENT_DISPATCH_REPLACE,    /* another endpoint is looked for; this one is left when there is one */
	BH__SILENT_DISPATCH_ALL_SILENT, /* waits on: all endpoints in use fell silent at once */
	BH__SILENT_DISPATCH_NO_RETRY,   /* waits on: no other dispatch may follow */
	BH__SILENT_DISPATCH_ACTION_COUNT
} BH__SilentDispatchAction;

extern const char *const BH__SilentDispatchActionString[];

/* The looks at one dispatch. */
typedef struct {
	uint64_t looked_us;              /* when it was last probed or looked at; 0: never */
	uint64_t all_silent_us;          /* when a look last found all silent; 0: never */
	BH__SilentDispatchAction action; /* what the last look decided */
} BH__SilentDispatch;

void bh__silence_evidence_collect(BH__SilenceEvidence *out, const BH__Registry *registry,
								  const BH__RegisteredEndpoint *e, uint64_t received_us, uint64_t max_wait_us,
								  uint64_t now_us);
BH__SilentDispatchAction bh__silent_dispatch_decide(BH__SilentDispatch *s,
													const BH__SilenceEvidence *evidence, uint64_t max_wait_us,
													const BH__RetryState *state,
													const BH__ServiceRetryBudget *budget, uint64_t now_us);
uint64_t bh__silent_dispatch_get_probe_us(uint64_t received_us, uint64_t max_wait_us);
uint64_t bh__silent_dispatch_get_due_us(const BH__SilentDispatch *s, uint64_t received_us,
										uint64_t max_wait_us);

#endif
