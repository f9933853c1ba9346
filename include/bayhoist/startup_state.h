/* SPDX-License-Identifier: BSD-3-Clause */
/* State that a starting node must load before it can decide on a request: the configuration, the endpoints,
 * and the record of which node has which duty. Each is read from the platform or received from another node.
 */
#ifndef BAYHOIST_STARTUP_STATE_H
#define BAYHOIST_STARTUP_STATE_H

#include "bayhoist/types.h"

/* Time after its start in which a node holds requests although it has received nothing yet. It is as long as
 * the back-off that a refusal would ask of the callers, because no other node knows more when all of them
 * start together. In a test where the store came back 0.45 s after all nodes had started, 97 requests that
 * were refused after 0.3 s came back at the same time as the rush of the other requests. */
#define BH__STARTUP_STATE_WAIT_US BH__SECOND_US

typedef enum {
	BH__STARTUP_STATE_COMPLETE, /* all state is loaded */
	BH__STARTUP_STATE_PENDING,  /* some state is missing and is expected soon */
	BH__STARTUP_STATE_MISSING   /* some state is missing, and nothing indicates that it will arrive soon */
} BH__StartupProgress;

typedef struct {
	uint64_t started_us;       /* start time of the node */
	uint64_t configuration_us; /* when the configuration was first loaded; 0: not yet */
	uint64_t endpoints_us;     /* when the endpoints were first loaded; 0: not yet */
	uint64_t duties_us; /* when the record of duties was first loaded, or its read failed; 0: not yet */
	uint64_t configuration_asked_us;   /* when the configuration was last requested; 0: never, or it failed */
	uint64_t configuration_timeout_us; /* time after that request by which it is answered or fails */
} BH__StartupState;

void bh__startup_state_init(BH__StartupState *s, uint64_t now_us);
void bh__startup_state_note_asked(BH__StartupState *s, uint64_t timeout_us, uint64_t now_us);
void bh__startup_state_note_failed(BH__StartupState *s);
void bh__startup_state_note_configuration(BH__StartupState *s, uint64_t now_us);
void bh__startup_state_note_endpoints(BH__StartupState *s, uint64_t now_us);
void bh__startup_state_note_duties(BH__StartupState *s, uint64_t now_us);
BH__StartupProgress bh__startup_state_get_progress(const BH__StartupState *s, uint64_t now_us);
uint64_t bh__startup_state_get_wait_until_us(const BH__StartupState *s);
bool bh__startup_state_has_endpoints(const BH__StartupState *s);

#endif
