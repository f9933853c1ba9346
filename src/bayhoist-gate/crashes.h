/* SPDX-License-Identifier: BSD-3-Clause */
/* Detection of requests and parts of prompts that crash endpoints, shared by all nodes: crash reports, their
 * evaluation, and the quarantine. */
#ifndef BAYHOIST_GATE_CRASHES_H
#define BAYHOIST_GATE_CRASHES_H

#include <json-c/json.h>
#include "bayhoist/crash_watch.h"
#include "gate.h"

Crashes *crashes_new(Gate *g);
void crashes_delete(Crashes *c);
bool crashes_is_quarantined(const Crashes *c, const BH__CrashSubjects *s);
uint64_t crashes_refuse(Crashes *c, const BH__CrashSubjects *s, const char *request_id);
bool crashes_is_suspected(const Crashes *c, const BH__CrashSubjects *s);
bool crashes_note_aborted(Crashes *c, const BH__AbortedDispatch *d);
void crashes_note_begun(Crashes *c, const BH__CrashSubjects *s);
void crashes_note_served(Crashes *c, const BH__CrashSubjects *s, bool was_aborted);
void crashes_apply_registry(Crashes *c, uint64_t now_us);
void crashes_process_restore(Crashes *c);
void crashes_merge_entry(Crashes *c, const BH__QuarantineEntry *aged, uint64_t now_us);
void crashes_notify_node(Crashes *c, uint64_t node_id);
bool crashes_process_message(Crashes *c, const BH__Message *m, uint64_t now_us);
bool crashes_release(Crashes *c, const BH__Fingerprint *f);
void crashes_process_tick(Crashes *c, uint64_t now_us);
char *crashes_list_endpoints(const Gate *g, const BH__QuarantineEntry *e);
const BH__CrashWatch *crashes_get_watch(const Crashes *c);

/* crash_view.c */
void crash_view_write_status(const Gate *g, struct evbuffer *out);
struct json_object *crash_view_describe(const Gate *g);

#endif
