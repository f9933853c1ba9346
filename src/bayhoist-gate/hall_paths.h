/* SPDX-License-Identifier: BSD-3-Clause */
/* The paths between halls: what this node believes of them, its probes and its reports. */
#ifndef BAYHOIST_GATE_HALL_PATHS_H
#define BAYHOIST_GATE_HALL_PATHS_H

#include <event2/buffer.h>
#include <json-c/json.h>
#include "bayhoist/hall_paths.h"
#include "gate.h"

typedef struct HallPaths HallPaths;

HallPaths *hall_paths_new(Gate *g);
void hall_paths_delete(HallPaths *p);
void hall_paths_note_failed(HallPaths *p, uint64_t endpoint_id);
void hall_paths_note_reached(HallPaths *p, uint64_t endpoint_id);
BH__PathState hall_paths_get_state(const HallPaths *p, uint64_t endpoint_id);
bool hall_paths_joins(const HallPaths *p, uint64_t endpoint_id, uint64_t other_id);
bool hall_paths_process_message(HallPaths *p, const BH__Message *m);
void hall_paths_process_tick(HallPaths *p, uint64_t now_us);
void hall_paths_write_status(const HallPaths *p, struct evbuffer *out);
struct json_object *hall_paths_describe(const HallPaths *p);

#endif
