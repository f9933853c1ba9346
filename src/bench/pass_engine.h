/* SPDX-License-Identifier: BSD-3-Clause */
/* A model of engines that work in passes and read long prompts together, in virtual time and without faults:
 * for benches of placement. It follows the formulas that the users publish for their engines. */
#ifndef BAYHOIST_BENCH_PASS_ENGINE_H
#define BAYHOIST_BENCH_PASS_ENGINE_H

#include <glib.h>
#include "bayhoist/engine_model.h"
#include "bayhoist/types.h"

typedef struct PassFleet PassFleet;

/* A request at the engines. */
typedef struct {
	uint64_t prompt_tokens;
	unsigned events; /* of its answer */
	unsigned events_left;
	unsigned home;  /* engine that answers */
	unsigned parts; /* engines that read for it, the answering one included */
	unsigned parts_left;
	uint64_t first_us; /* when its first event came; 0: not yet */
	uint64_t last_us;
	uint64_t pause_us; /* longest between events so far */
	uint64_t done_us;  /* 0: not yet */
	void *ctx;
} PassRequest;

typedef void (*PassEvent)(void *ctx, PassRequest *r, uint64_t now_us); /* its first event, or its last */

PassFleet *pass_fleet_new(const BH__EngineModel *model, unsigned engines, PassEvent first, PassEvent done,
						  void *ctx);
void pass_fleet_delete(PassFleet *f);
void pass_fleet_start(PassFleet *f, PassRequest *r, const unsigned *engine, unsigned count, uint64_t now_us);
uint64_t pass_fleet_get_next_us(const PassFleet *f);
void pass_fleet_process(PassFleet *f, uint64_t now_us);
unsigned pass_fleet_get_load(const PassFleet *f, unsigned engine);
double pass_fleet_get_backlog_ms(const PassFleet *f, unsigned engine);

#endif
