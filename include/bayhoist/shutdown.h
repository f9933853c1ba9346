/* SPDX-License-Identifier: BSD-3-Clause */
/* The planned stop of a node: until when it runs, and what it may still send to endpoints. What it takes is a
 * promise to its caller, which an endpoint that falls silent for a while must not break. This module only
 * decides; no I/O, no clock. */
#ifndef BAYHOIST_SHUTDOWN_H
#define BAYHOIST_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>
#include "bayhoist/types.h"

/* A planned stop. */
typedef struct {
	uint64_t began_us;  /* when it began; 0: none has begun */
	uint64_t exit_us;   /* when the node exits at the latest; valid if one has begun */
	uint64_t closed_us; /* since then no new connections begin; 0: they still do */
	bool is_ending;     /* the node sends its last answers and takes nothing more */
} BH__Shutdown;

/* What is known of a request that the node is about to send. All times in microseconds. */
typedef struct {
	uint64_t longest_us;  /* from its dispatch to the end of its answer, rarely exceeded */
	uint64_t max_wait_us; /* for which its endpoint may be silent, see bh__response_max_wait_us() */
	uint64_t patience_us; /* longest silence that its caller waits through */
	uint64_t silence_us;  /* longest recent silence of the service; 0: none */
	uint64_t target_us;   /* for the first event of its answer */
	bool is_engine;       /* its service runs engines, which each node schedules for itself without peers */
	bool has_peers;       /* another node takes requests */
	bool is_observed;     /* `longest_us` is by answers of before; otherwise it contains `max_wait_us` */
} BH__ShutdownRequest;

void bh__shutdown_begin(BH__Shutdown *s, uint64_t grace_us, uint64_t now_us);
void bh__shutdown_end(BH__Shutdown *s, uint64_t now_us);
void bh__shutdown_close(BH__Shutdown *s, uint64_t now_us);
bool bh__shutdown_is_closing_due(const BH__Shutdown *s, bool is_busy, uint64_t now_us);
bool bh__shutdown_awaits_handshakes(const BH__Shutdown *s, uint64_t now_us);
bool bh__shutdown_awaits_callers(const BH__Shutdown *s, unsigned callers, uint64_t now_us);
bool bh__shutdown_is_due(const BH__Shutdown *s, bool is_busy, uint64_t now_us);
uint64_t bh__shutdown_get_left_us(const BH__Shutdown *s, uint64_t now_us);
uint64_t bh__shutdown_get_needed_us(const BH__Shutdown *s, const BH__ShutdownRequest *r, uint64_t now_us);
bool bh__shutdown_may_send(const BH__Shutdown *s, const BH__ShutdownRequest *r, uint64_t now_us);

#endif
