/* SPDX-License-Identifier: BSD-3-Clause */
/* Detection of requests that crash endpoints, shared by all nodes: crash reports, their evaluation, and the
 * quarantine of the requests. */
#ifndef BAYHOIST_GATE_CRASHES_H
#define BAYHOIST_GATE_CRASHES_H

#include <json-c/json.h>
#include "gate.h"

Crashes *crashes_new(Gate *g);
void crashes_delete(Crashes *c);
uint64_t crashes_get_quarantine_us(const Crashes *c, const BH__Fingerprint *f);
bool crashes_is_suspected(const Crashes *c, const BH__Fingerprint *f);
void crashes_note_refusal(Crashes *c);
void crashes_note_aborted(Crashes *c, const char *service, uint64_t endpoint_id, const BH__Fingerprint *f,
						  bool was_helper);
void crashes_note_served(Crashes *c, const char *service, const BH__Fingerprint *f, bool was_aborted);
void crashes_apply_registry(Crashes *c, uint64_t now_us);
void crashes_process_restore(Crashes *c);
void crashes_merge_entry(Crashes *c, const BH__QuarantineEntry *aged, uint64_t now_us);
bool crashes_process_message(Crashes *c, const BH__Message *m, uint64_t now_us);
bool crashes_release(Crashes *c, const BH__Fingerprint *f);
void crashes_process_tick(Crashes *c, uint64_t now_us);
void crashes_write_status(const Crashes *c, struct evbuffer *out);
struct json_object *crashes_describe(const Gate *g);

#endif
